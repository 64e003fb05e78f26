from datetime import timedelta

import pytest

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.routing import CacheEvents, LoadReport, LoadSummary
from oriolepaddle.routing.endpoint_health import EndpointHealth
from oriolepaddle.routing.local_fleet import ENGINE_QUEUE_FRACTION
from oriolepaddle.routing.prefix import BLOCK_TOKENS
from oriolepaddle.routing.tests.conftest import make_endpoint, make_request

DOSSIER = tuple(range(1, 21))


class TestFailedEndpoint:
    def test_request_is_refused_when_all_endpoints_failed(self, bench):
        bench.put(make_endpoint("e1"))
        bench.put(make_endpoint("e2"))
        router = bench.make_router()
        router.record_endpoint_failure("e1")
        router.record_endpoint_failure("e2")
        with pytest.raises(RefusedError) as caught:
            router.choose(make_request())
        assert caught.value.code is ErrorCode.NO_ENDPOINT

    def test_request_is_forwarded_after_its_second_failure(self, bench):
        for name in ("e1", "e2", "e3"):
            bench.put(make_endpoint(name))
        router = bench.make_router()
        router.apply_summaries([LoadSummary("sudur-a", "oriole-answers", 0.0, 8.0)])
        once = make_request(excluded=frozenset(["e1"]))
        assert router.choose(once).data_centre is None
        twice = make_request(excluded=frozenset(["e1", "e2"]))
        assert router.choose(twice).data_centre == "sudur-a"

    def test_gets_a_single_probe_after_the_backoff(self, bench):
        endpoint = make_endpoint("e1")
        bench.put(endpoint)
        router = bench.make_router()
        router.record_endpoint_failure("e1")
        bench.clock.advance(timedelta(seconds=1.1))
        assert router.choose(make_request()).endpoint == endpoint
        handle = router.start(make_request(), endpoint)
        with pytest.raises(RefusedError):
            router.choose(make_request())
        handle.record_first_token()
        assert router.choose(make_request()).endpoint == endpoint

    def test_cache_is_cold_after_a_failure(self, bench):
        endpoint = make_endpoint("e1")
        bench.put(endpoint)
        router = bench.make_router()
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        router.start(request, endpoint).finish(10, failed=False)
        assert router.choose(request).scores[0].cached_tokens > 5000
        router.record_endpoint_failure("e1")
        bench.clock.advance(timedelta(seconds=1.1))
        assert router.choose(request).scores[0].cached_tokens == 0

    def test_slots_ramp_up_after_recovery(self):
        health = EndpointHealth()
        health.fail(now_s=0.0)
        assert health.limit(8, now_s=0.5) == 0
        assert health.limit(8, now_s=1.5) == 1
        health.succeed(started_s=1.5, now_s=2.0)
        limits = [health.limit(8, now_s) for now_s in (2.0, 9.6, 20.0)]
        assert limits == [1, 4, 8]

    def test_answer_to_an_earlier_request_does_not_end_the_backoff(self):
        health = EndpointHealth()
        health.fail(now_s=5.0)
        health.succeed(started_s=4.0, now_s=5.1)
        assert health.limit(8, now_s=5.2) == 0

    def test_failures_of_one_crash_count_once(self):
        health = EndpointHealth()
        for _ in range(8):
            health.fail(now_s=0.0)
        assert health.limit(8, now_s=1.0) == 1


class TestRequestHandle:
    def test_finishes_once(self, bench):
        endpoint = make_endpoint(slots=1)
        bench.put(endpoint)
        router = bench.make_router()
        first = router.start(make_request(), endpoint)
        router.start(make_request(), endpoint)
        first.finish(10, failed=False)
        first.finish(10, failed=False)
        assert router.choose(make_request()).scores[0].queueing_s > 0

    def test_pause_is_not_mistaken_for_a_slow_endpoint(self, bench):
        endpoint = make_endpoint()
        bench.put(endpoint)
        router = bench.make_router()
        before = router.choose(make_request()).scores[0]
        handle = router.start(make_request(), endpoint)
        bench.clock.advance(timedelta(hours=1))
        handle.record_first_token()
        handle.finish(100, failed=False)
        after = router.choose(make_request()).scores[0]
        assert after.prefill_s <= 1.5 * before.prefill_s
        bench.clock.advance(timedelta(seconds=30))
        assert router.choose(make_request()).scores[0].queueing_s < 0.1


class TestDelayedReports:
    def test_older_report_does_not_replace_newer(self, bench):
        bench.put(make_endpoint(slots=1))
        router = bench.make_router()
        router.apply_load_report(LoadReport("e1", running=1, queued=5, age_s=1.0))
        loaded_s = router.choose(make_request()).scores[0].queueing_s
        router.apply_load_report(LoadReport("e1", running=0, queued=0, age_s=2.0))
        assert router.choose(make_request()).scores[0].queueing_s == loaded_s

    def test_own_requests_are_not_counted_twice(self, bench):
        endpoint = make_endpoint(slots=8)
        bench.put(endpoint)
        router = bench.make_router(instances=3)
        for _ in range(4):
            router.start(make_request(prompt_tokens=1), endpoint)
        bench.clock.advance(timedelta(seconds=1))
        router.apply_load_report(LoadReport("e1", running=4, queued=0, age_s=0.5))
        places = 8 * (1 + ENGINE_QUEUE_FRACTION)
        expected = int(4 + (places - 4) / 3)
        assert router.concurrency_limit("oriole-answers") == expected


class TestCacheEvents:
    @pytest.mark.parametrize(
        ("sequence", "is_certain"), [(2, True), (3, False), (1, True)]
    )
    def test_sequence_gap_lowers_confidence(self, bench, sequence, is_certain):
        bench.put(make_endpoint())
        router = bench.make_router()
        router.apply_cache_events(
            CacheEvents("e1", epoch=1, sequence=1, stored=DOSSIER)
        )
        router.apply_cache_events(CacheEvents("e1", epoch=1, sequence=sequence))
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        cached = router.choose(request).scores[0].cached_tokens
        assert (cached == len(DOSSIER) * BLOCK_TOKENS) is is_certain
        assert cached > 0

    def test_repeated_batch_does_not_undo_a_later_one(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        first = CacheEvents("e1", epoch=1, sequence=1, stored=DOSSIER)
        router.apply_cache_events(first)
        router.apply_cache_events(CacheEvents("e1", 1, sequence=2, evicted=DOSSIER))
        router.apply_cache_events(first)
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        assert router.choose(request).scores[0].cached_tokens == 0

    def test_cache_is_cold_after_an_engine_restart(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        router.apply_cache_events(
            CacheEvents("e1", epoch=1, sequence=9, stored=DOSSIER)
        )
        router.apply_cache_events(CacheEvents("e1", epoch=2, sequence=1))
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        assert router.choose(request).scores[0].cached_tokens == 0

    def test_delayed_eviction_keeps_blocks_sent_since(self, bench):
        endpoint = make_endpoint()
        bench.put(endpoint)
        router = bench.make_router()
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        bench.clock.advance(timedelta(seconds=10))
        router.start(request, endpoint).finish(1, failed=False)
        events = CacheEvents("e1", 1, 1, evicted=DOSSIER, age_s=3.0)
        router.apply_cache_events(events)
        assert router.choose(request).scores[0].cached_tokens > 0

    def test_prefers_the_endpoint_with_the_cached_prefix(self, bench):
        for name in ("e1", "e2", "e3"):
            bench.put(make_endpoint(name))
        router = bench.make_router()
        events = CacheEvents("e2", epoch=1, sequence=1, stored=DOSSIER)
        router.apply_cache_events(events)
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        assert router.choose(request).endpoint.id == "e2"

    def test_instances_agree_on_the_preferred_endpoint(self, bench):
        for name in ("e1", "e2", "e3"):
            bench.put(make_endpoint(name))
        request = make_request(prompt_tokens=6000, prefix_hashes=DOSSIER)
        chosen = {bench.make_router().choose(request).endpoint.id for _ in range(6)}
        assert len(chosen) == 1
