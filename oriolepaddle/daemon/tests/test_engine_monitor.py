import json
from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, parse_ticket
from oriolepaddle.daemon.engine_monitor import EngineMonitor
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.standins import EngineStandin, make_object

PROMPT = "room history " * 400


class Recorder:
    def __init__(self):
        self.loads = []
        self.events = []
        self.answers = []

    def apply_load_report(self, report):
        self.loads.append(report)

    def apply_cache_events(self, events):
        self.events.append((events.epoch, events.sequence))

    def record_health_answer(self, endpoint, incarnation, requested_at_s):
        self.answers.append(incarnation)

    def capacity_changed(self):
        pass


@pytest.fixture
def engine():
    engine = EngineStandin("e1")
    engine.start()
    yield engine
    engine.close()


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def check(engine, recorder):
    clock = ManualClock()
    config = ConfigState()
    value = {"address": engine.address, "routes": ["oriole-answers"]}
    objects = [
        make_object("endpoint", "e1", data_centre="nordur-a", **value),
        make_object("endpoint", "e2", data_centre="sudur-a", **value),
    ]
    config.merge(parse_ticket(json.dumps({"number": 1, "objects": objects})).entries)
    context = SimpleNamespace(
        health=HealthChecker(),
        router=recorder,
        quarantine=recorder,
        admissions=recorder,
    )
    monitor = EngineMonitor(clock, config, "nordur-a", context)

    def check():
        clock.advance(timedelta(seconds=1))
        monitor.run()

    return check


class TestEngineMonitor:
    def test_checks_only_endpoints_of_its_data_centre(self, check, recorder):
        check()
        check()
        assert [report.endpoint for report in recorder.loads] == ["e1", "e1"]

    def test_reads_each_cache_event_once_and_all_of_a_new_incarnation(
        self, check, recorder, engine
    ):
        engine.cache.use(PROMPT)
        check()
        check()
        assert recorder.events == [(0, 1)]
        engine.crash()
        engine.cache.use(PROMPT)
        check()
        assert recorder.events == [(0, 1), (1, 1)]
        assert recorder.answers == ["e1-0", "e1-0", "e1-1"]
