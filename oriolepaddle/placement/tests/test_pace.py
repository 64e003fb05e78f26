from datetime import timedelta

import pytest

from oriolepaddle.placement import Job, PeerLoad
from oriolepaddle.placement.pace import FRESH_S, EndpointPace, ServicePace
from oriolepaddle.placement.tests.engines import ENGINES, make_dossier, register

SLOW_S, FAST_S = 0.3, 0.05


class TestEndpointPace:
    def test_follows_the_pauses_of_its_streams(self):
        pace = EndpointPace(ServicePace())
        for number in range(100):
            pace.note_pause(SLOW_S, number * SLOW_S)
        assert pace.pause_s(30.0) == pytest.approx(SLOW_S, rel=0.05)

    def test_is_that_of_the_service_when_nothing_was_heard(self):
        service = ServicePace()
        pace, other = EndpointPace(service), EndpointPace(service)
        for number in range(100):
            pace.note_pause(SLOW_S, number * SLOW_S)
        assert other.pause_s(30.0) == service.pause_s
        assert pace.pause_s(30.0 + FRESH_S) == service.pause_s

    def test_answers_tell_how_many_events_a_token_makes(self):
        service = ServicePace()
        for _ in range(200):
            service.learn_answer(events=73, output_tokens=292)
        assert service.events_per_token == pytest.approx(0.25, rel=0.05)
        service.learn_answer(events=5, output_tokens=0)
        assert service.events_per_token == pytest.approx(0.25, rel=0.05)


class TestStreams:
    """The load: long answers beside long prompts that hold up their tokens."""

    def stream(self, placer, clock, name, others, pause_s):
        """Let one stream run at an engine."""
        job = Job(ENGINES, (), 600, 300)
        choice = placer.choose(job, others)
        assert choice.endpoint.id == name
        placed = placer.start(choice, job)
        for _ in range(30):
            clock.advance(timedelta(seconds=pause_s))
            placed.record_activity()
            placed.record_first_byte()
        placed.succeed()
        placed.end()

    def test_long_answer_goes_where_tokens_come_faster(self, placer, catalog, clock):
        slow, fast = register(catalog, "e1"), register(catalog, "e2")
        self.stream(placer, clock, "e2", {slow.incarnation}, FAST_S)
        self.stream(placer, clock, "e1", {fast.incarnation}, SLOW_S)
        self.stream(placer, clock, "e2", {slow.incarnation}, FAST_S / 2)
        choice = placer.choose(Job(ENGINES, (), 600, 300))
        assert choice.endpoint.id == "e2"

    def test_long_prompt_goes_where_it_holds_up_fewer(self, placer, catalog):
        for name in ("e1", "e2"):
            register(catalog, name)
        placer.choose(make_dossier("a"))
        chosen = {placer.choose(make_dossier(f"d{n}")).endpoint.id for n in range(8)}
        assert chosen == {"e1", "e2"}
        placer.apply_peer("n2", {"e1": PeerLoad(40, 0)})
        chosen = {placer.choose(make_dossier(f"d{n}")).endpoint.id for n in range(8)}
        assert chosen == {"e2"}
