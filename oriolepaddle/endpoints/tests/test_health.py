import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.routing import hash_prompt
from oriolepaddle.standins import EngineStandin, ServiceStandin
from oriolepaddle.standins.prefix_cache import PrefixCacheStandin

PROMPT = "room history " * 400


@pytest.fixture
def engine():
    engine = EngineStandin("e1")
    engine.start()
    yield engine
    engine.close()


class TestHealthChecker:
    def test_reports_incarnation_and_load(self, engine):
        checker = HealthChecker()
        result = checker.check(engine.address)
        assert (result.is_up, result.incarnation, result.running) == (True, "e1-0", 0)
        engine.crash()
        assert checker.check(engine.address).incarnation == "e1-1"
        assert checker.last_incarnation(engine.address) == "e1-1"

    def test_closed_endpoint_refuses(self, engine):
        engine.close()
        result = HealthChecker().check(engine.address)
        assert (result.is_up, result.is_refused) == (False, True)


class TestCacheEvents:
    def test_are_read_after_a_sequence_number(self, engine):
        engine.cache.use(PROMPT)
        read = HealthChecker().read_cache_events
        reading = read("e1", engine.address, 0)
        assert reading.events[0].stored == hash_prompt(PROMPT)
        assert read("e1", engine.address, reading.events[0].sequence).events == ()

    def test_restarted_engine_has_a_new_epoch(self, engine):
        engine.cache.use(PROMPT)
        engine.crash()
        reading = HealthChecker().read_cache_events("e1", engine.address, 1)
        assert (reading.epoch, reading.events) == (1, ())

    def test_endpoint_without_prefix_cache_publishes_none(self):
        service = ServiceStandin("desk")
        service.start()
        reading = HealthChecker().read_cache_events("desk", service.address, 0)
        service.close()
        assert reading.epoch is None


class TestPrefixCacheStandin:
    def test_evicts_the_least_recently_used_blocks(self):
        cache = PrefixCacheStandin(ManualClock(), epoch=0, max_blocks=2)
        first, second = "a" * 1024, "b" * 2048
        cache.use(first)
        cache.use(second)
        batches = cache.describe(0)["batches"]
        assert batches[1]["evicted"] == [
            f"{block:016x}" for block in hash_prompt(first)
        ]
