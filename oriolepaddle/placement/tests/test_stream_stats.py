from datetime import timedelta

import pytest

from oriolepaddle.placement import Job, PeerLoad
from oriolepaddle.placement.stream_stats import (
    MAX_SAMPLE_AGE_S,
    EndpointStreamStats,
    ServiceStreamStats,
)
from oriolepaddle.placement.tests.engines import ENGINES, make_dossier, register

SLOW_S, FAST_S = 0.3, 0.05


class TestEndpointStreamStats:
    def test_follows_the_intervals_of_its_streams(self):
        stream_stats = EndpointStreamStats(ServiceStreamStats())
        for number in range(100):
            stream_stats.record_interval(SLOW_S, number * SLOW_S)
        assert stream_stats.interval_s(30.0) == pytest.approx(SLOW_S, rel=0.05)

    def test_falls_back_to_the_service_without_recent_samples(self):
        service = ServiceStreamStats()
        stream_stats, other = EndpointStreamStats(service), EndpointStreamStats(service)
        for number in range(100):
            stream_stats.record_interval(SLOW_S, number * SLOW_S)
        assert other.interval_s(30.0) == service.interval_s
        assert stream_stats.interval_s(30.0 + MAX_SAMPLE_AGE_S) == service.interval_s

    def test_learns_the_events_per_token_from_answers(self):
        service = ServiceStreamStats()
        for _ in range(200):
            service.record_answer(events=73, output_tokens=292)
        assert service.events_per_token == pytest.approx(0.25, rel=0.05)
        service.record_answer(events=5, output_tokens=0)
        assert service.events_per_token == pytest.approx(0.25, rel=0.05)


class TestStreams:
    """Long answers run beside long prompts whose prefill delays their tokens."""

    def stream(self, placer, clock, name, others, interval_s):
        """Run one stream at an endpoint."""
        job = Job(ENGINES, (), 600, 300)
        choice = placer.choose(job, others)
        assert choice.endpoint.id == name
        placed = placer.start(choice, job)
        for _ in range(30):
            clock.advance(timedelta(seconds=interval_s))
            placed.record_activity()
            placed.record_first_byte()
        placed.succeed()
        placed.end()

    def test_long_answer_goes_to_the_faster_stream(self, placer, catalog, clock):
        slow, fast = register(catalog, "e1"), register(catalog, "e2")
        self.stream(placer, clock, "e2", {slow.incarnation}, FAST_S)
        self.stream(placer, clock, "e1", {fast.incarnation}, SLOW_S)
        self.stream(placer, clock, "e2", {slow.incarnation}, FAST_S / 2)
        choice = placer.choose(Job(ENGINES, (), 600, 300))
        assert choice.endpoint.id == "e2"

    def test_long_prompt_goes_where_it_delays_fewer_streams(self, placer, catalog):
        for name in ("e1", "e2"):
            register(catalog, name)
        placer.choose(make_dossier("a"))
        chosen = {placer.choose(make_dossier(f"d{n}")).endpoint.id for n in range(8)}
        assert chosen == {"e1", "e2"}
        placer.apply_peer("n2", {"e1": PeerLoad(40, 0)})
        chosen = {placer.choose(make_dossier(f"d{n}")).endpoint.id for n in range(8)}
        assert chosen == {"e2"}
