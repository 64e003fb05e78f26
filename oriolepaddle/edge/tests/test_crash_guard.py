from datetime import timedelta

import pytest

from oriolepaddle.edge import AnswerKind, EndpointAnswer
from oriolepaddle.edge.tests.crash_fakes import (
    ANSWER,
    MAX_RUNS,
    PARTS,
    RUNS,
    SILENT,
    STAGES,
    break_off,
    exchange_reports,
    make_request,
    make_sink,
)
from oriolepaddle.errors import RefusedError
from oriolepaddle.placement import PromptPart


def count_runs(instances, clock, endpoints, stage, make):
    """Return how many runs of a request crash endpoints until it is refused."""
    for number in range(RUNS):
        try:
            guard = instances[number % len(instances)].start(make(number))
        except RefusedError:
            return number
        break_off(guard, endpoints, stage)
        exchange_reports(instances)
        clock.advance(timedelta(seconds=2))
    return RUNS


class TestRepeatedRequest:
    @pytest.mark.parametrize("parts", [(), PARTS], ids=["no part", "one part"])
    @pytest.mark.parametrize("stage", STAGES)
    def test_that_crashes_each_endpoint_is_refused(
        self, instances, clock, endpoints, stage, parts
    ):
        runs = count_runs(
            instances, clock, endpoints, stage, lambda n: make_request(n, parts)
        )
        assert runs <= MAX_RUNS

    @pytest.mark.parametrize("stage", STAGES)
    def test_is_refused_though_the_endpoints_are_back_at_once(
        self, instances, clock, endpoints, stage
    ):
        endpoints.refuses_connections = False
        runs = count_runs(instances, clock, endpoints, stage, make_request)
        assert runs <= MAX_RUNS

    def test_is_refused_though_its_runs_follow_each_other_at_once(
        self, instances, clock, endpoints
    ):
        for _ in range(MAX_RUNS):
            break_off(instances[0].start(make_request()), endpoints, "after an event")
        with pytest.raises(RefusedError):
            instances[0].start(make_request())

    def test_is_refused_with_another_id_in_its_body(self, instances, clock, endpoints):
        def make(number):
            request = make_request(number)
            body = b'{"id": "%s"}' % request.id.encode()
            return make_request(number, body=body)

        runs = count_runs(instances, clock, endpoints, "before an answer", make)
        assert runs <= MAX_RUNS

    def test_is_refused_with_another_description_of_its_prompt(
        self, instances, clock, endpoints
    ):
        def make(number):
            parts = (*PARTS[:1], PromptPart(f"session {number}", 100))
            return make_request(number, parts)

        runs = count_runs(instances, clock, endpoints, "after an event", make)
        assert runs <= MAX_RUNS

    def test_is_not_cleared_by_the_failure_of_another_endpoint(
        self, instances, clock, endpoints
    ):
        for number in range(2):
            guard = instances[0].start(make_request(number))
            break_off(guard, endpoints, "before an answer")
            guard.record_answer(EndpointAnswer(AnswerKind.RAN, 500, ()))
        with pytest.raises(RefusedError):
            instances[0].start(make_request(9))

    def test_does_not_accuse_its_parts_alone(self, instances, clock, endpoints):
        count_runs(
            instances,
            clock,
            endpoints,
            "before an event",
            lambda n: make_request(n, PARTS),
        )
        instances[0].start(make_request(99, PARTS, body=b"sound"))

    def test_is_refused_though_its_endpoints_only_fall_silent(
        self, instances, clock, endpoints
    ):
        for _ in range(MAX_RUNS):
            guard = instances[0].start(make_request())
            endpoint = endpoints.add()
            guard.record_failure(endpoint, make_sink(), SILENT)
            guard.end_attempt()
            endpoints.replaced.add(endpoint.id)
            clock.advance(timedelta(seconds=3))
            instances[0].crashes.resolve_pending_runs(
                endpoints.find_end, clock.monotonic_s()
            )
        with pytest.raises(RefusedError):
            instances[0].start(make_request())


class TestSoundRequest:
    """Guards against refusing what endpoints ran when another request crashed them."""

    @pytest.mark.parametrize("stage", STAGES)
    def test_is_served_after_the_cause_is_found(
        self, instances, clock, endpoints, stage
    ):
        for number in range(MAX_RUNS):
            crasher = instances[0].start(make_request(number))
            sound = instances[0].start(make_request(number, body=b"sound"))
            if number < MAX_RUNS - 1:
                error, sink = STAGES[stage]
                endpoint = endpoints.add()
                for guard in (crasher, sound):
                    guard.record_failure(endpoint, sink, error)
                    guard.end_attempt()
            else:
                break_off(crasher, endpoints, stage)
            clock.advance(timedelta(seconds=2))
        instances[0].start(make_request(9, body=b"sound"))

    def test_that_is_cut_off_twice_is_served(self, instances, clock, endpoints):
        for number in range(2):
            guard = instances[0].start(make_request(number))
            break_off(guard, endpoints, "after an event")
            clock.advance(timedelta(seconds=2))
        instances[0].start(make_request(9))

    def test_that_a_failure_of_many_endpoints_cuts_off_is_served(
        self, instances, clock, endpoints
    ):
        guards = [instances[0].start(make_request(number)) for number in range(RUNS)]
        for guard in guards:
            break_off(guard, endpoints, "after an event")
        instances[0].start(make_request(99))

    def test_that_is_answered_between_is_served(self, instances, clock, endpoints):
        for number in range(RUNS):
            guard = instances[0].start(make_request(number))
            break_off(guard, endpoints, "after an event")
            instances[0].start(make_request(number)).record_answer(ANSWER)
            clock.advance(timedelta(seconds=2))

    def test_whose_runs_time_out_at_endpoints_that_live_is_served(
        self, instances, clock, endpoints
    ):
        for number in range(RUNS):
            guard = instances[0].start(make_request(number))
            guard.record_failure(endpoints.add(), make_sink(), SILENT)
            guard.end_attempt()
            clock.advance(timedelta(seconds=3))
            instances[0].crashes.resolve_pending_runs(
                endpoints.find_end, clock.monotonic_s()
            )
