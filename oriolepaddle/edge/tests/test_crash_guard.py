import contextlib
from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.catalog import EndpointState, RegisteredEndpoint
from oriolepaddle.clock import ManualClock
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.edge import AnswerKind, EdgeRequest, EndpointAnswer
from oriolepaddle.edge.crash_guard import CrashGuard, make_keys
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointReplacedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    RefusedError,
)
from oriolepaddle.placement import PromptPart

RUNS = 12
MAX_RUNS = 3
"""Endpoints that one request may crash before it is refused everywhere."""
ANSWER = EndpointAnswer(AnswerKind.RAN, 200, (), is_stream=True)
FAILED = EndpointFailedError("connection reset")
TRUNCATED = AnswerTruncatedError("the answer broke off")
REPLACED = EndpointReplacedError("another endpoint listens on the address")
UNREACHABLE = EndpointUnreachableError("connection failed")
SILENT = EndpointTimeoutError("no first byte of the answer within 2.0 s")
PARTS = (PromptPart("5c1e", 700), PromptPart("a1", 100))


def make_sink(answer=None, events=0):
    return SimpleNamespace(is_sent=True, answer=answer, events=events)


STAGES = {
    "before an answer": (FAILED, make_sink()),
    "inside the head": (TRUNCATED, make_sink()),
    "before an event": (TRUNCATED, make_sink(ANSWER)),
    "after an event": (TRUNCATED, make_sink(ANSWER, events=1)),
}


class Endpoints:
    """Endpoints of which each runs one request and crashes, or is cut off."""

    def __init__(self, refuses_connections=True):
        self.refuses_connections = refuses_connections
        self.count = 0
        self.replaced = set()
        self.leaving = set()

    def add(self):
        self.count += 1
        return RegisteredEndpoint(
            f"e{self.count}", 1, "s", "127.0.0.1:9", "a", 6, EndpointState.READY
        )

    def find_end(self, endpoint):
        return None if endpoint.id in self.leaving else endpoint.id in self.replaced

    def is_replaced(self, endpoint):
        return False

    def may_send(self, endpoint):
        return True

    def has_ended(self, endpoint):
        return self.refuses_connections


class Instance:
    def __init__(self, clock, endpoints):
        self.crashes = CrashRegister(clock)
        self.context = SimpleNamespace(
            clock=clock, crashes=self.crashes, catalog=endpoints, liveness=endpoints
        )

    def start(self, request):
        guard = CrashGuard(self.context, request, "s", lambda: None)
        guard.check()
        guard.start_attempt(self.context.clock.monotonic_s())
        return guard


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def endpoints():
    return Endpoints()


@pytest.fixture
def instances(clock, endpoints):
    return [Instance(clock, endpoints) for _ in range(2)]


def make_request(number=0, parts=(), **changes):
    values = {
        "id": f"9c41d07be2a3{number:04x}",
        "method": "POST",
        "host": "h",
        "path": "/a",
        "target": "/a",
        "headers": (),
        "body": b"body",
        "key": "k",
        "arrived_s": 0.0,
        "parts": parts,
    }
    return EdgeRequest(**(values | changes))


def exchange_reports(instances):
    for sender in instances:
        for receiver in instances:
            if sender is not receiver:
                receiver.crashes.merge(sender.crashes.select_to_send(), "peer")


def break_off(guard, endpoints, stage):
    error, sink = STAGES[stage]
    endpoint = endpoints.add()
    if sink.events:
        guard.record_first_event(endpoint, 0.0)
    guard.record_failure(endpoint, sink, error)
    guard.end_attempt()


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


DEADLY_PARTS = (PromptPart("5c1e", 700), PromptPart("dead", 700), PromptPart("a", 100))
SOUND_PARTS = (PromptPart("5c1e", 700), PromptPart("91bd", 700), PromptPart("b", 100))
DETECTION_TIME = timedelta(seconds=9)
MAX_UNSEEN_RUNS = 5
"""Endpoints that a part may crash before it is refused, however they end."""


class PartLoad:
    """Prompts with a part that breaks off every run, and sound prompts beside them."""

    def __init__(self, instance, clock, endpoints):
        endpoints.refuses_connections = False
        self.instance, self.clock, self.endpoints = instance, clock, endpoints
        self.number = 0

    def start(self, parts=DEADLY_PARTS):
        self.number += 1
        return self.instance.start(
            make_request(self.number, parts, body=b"%d" % self.number)
        )

    def fail(self, error=TRUNCATED, sink=None):
        """Let a run with the part fail; return its endpoint."""
        guard = self.start()
        endpoint = self.endpoints.add()
        guard.record_failure(endpoint, sink or make_sink(), error)
        guard.end_attempt()
        return endpoint

    def answer(self, endpoint=None, parts=SOUND_PARTS):
        guard = self.start(parts)
        sent_s = self.clock.monotonic_s()
        guard.record_first_event(endpoint or self.endpoints.add(), sent_s)

    def resolve(self):
        self.instance.crashes.resolve_pending_runs(
            self.endpoints.find_end, self.clock.monotonic_s()
        )

    def count_runs(self, fail):
        """Return the runs with the part until it is refused."""
        for number in range(RUNS):
            try:
                fail()
            except RefusedError:
                return number
            self.clock.advance(timedelta(seconds=1))
            self.resolve()
            self.answer()
        return RUNS


@pytest.fixture
def load(instances, clock, endpoints):
    return PartLoad(instances[0], clock, endpoints)


class TestUnseenEnd:
    """Guards against sending on a part that ends endpoints whose listeners stay."""

    def test_part_is_refused_before_an_end_is_known(self, load):
        assert load.count_runs(load.fail) <= MAX_UNSEEN_RUNS

    def test_end_that_the_list_shows_counts_as_a_crash(self, load, endpoints):
        def fail():
            endpoints.replaced.add(load.fail().id)

        assert load.count_runs(fail) <= 2

    @pytest.mark.parametrize("error", [REPLACED, UNREACHABLE])
    def test_end_that_a_later_attempt_meets_counts_as_a_crash(
        self, load, endpoints, error
    ):
        def fail():
            endpoint = load.fail()
            endpoints.refuses_connections = True
            guard = load.start(SOUND_PARTS)
            guard.record_failure(endpoint, make_sink(), error)
            endpoints.refuses_connections = False

        assert load.count_runs(fail) <= 2

    def test_silent_end_counts_as_a_crash(self, load, endpoints):
        def fail():
            endpoints.replaced.add(load.fail(SILENT, make_sink(ANSWER)).id)

        assert load.count_runs(fail) <= 2

    def test_silent_run_counts_before_it_is_given_up(self, load, endpoints, clock):
        def fall_silent():
            guard = load.start()
            endpoint = endpoints.add()
            guard.start_run(endpoint, make_sink(ANSWER))
            endpoints.replaced.add(endpoint.id)

        assert load.count_runs(fall_silent) <= 2

    def test_sound_prompts_are_served(self, load):
        load.count_runs(load.fail)
        load.start(SOUND_PARTS)


class TestLivingEndpoint:
    """Guards against refusing parts whose runs only were reset, cut off or silent."""

    def fail_and_serve(self, load, error, after):
        for _ in range(RUNS):
            after(load.fail(error))
            load.clock.advance(timedelta(seconds=1))
            load.resolve()
        load.start()

    def test_that_answers_after_a_reset_accuses_nothing(self, load, clock):
        def answer_later(endpoint):
            clock.advance(timedelta(seconds=1))
            load.answer(endpoint, SOUND_PARTS)

        self.fail_and_serve(load, TRUNCATED, answer_later)

    def test_that_outlives_the_detection_accuses_nothing(self, load, clock):
        self.fail_and_serve(load, FAILED, lambda _: clock.advance(DETECTION_TIME))

    def test_that_leaves_as_planned_accuses_nothing(self, load, endpoints):
        self.fail_and_serve(load, FAILED, lambda item: endpoints.leaving.add(item.id))

    def test_that_is_silent_accuses_nothing(self, load, clock):
        self.fail_and_serve(load, SILENT, lambda _: clock.advance(DETECTION_TIME))

    def test_that_is_removed_while_it_serves_accuses_nothing(
        self, load, clock, endpoints
    ):
        for _ in range(RUNS):
            guard = load.start()
            endpoint = endpoints.add()
            guard.start_run(endpoint, make_sink(ANSWER))
            endpoints.replaced.add(endpoint.id)
            clock.advance(timedelta(milliseconds=500))
            load.resolve()
            guard.record_first_event(endpoint, clock.monotonic_s())
            clock.advance(timedelta(seconds=1))
            load.resolve()

    def test_many_resets_at_once_accuse_nothing(self, load):
        for _ in range(RUNS):
            load.fail()
        load.start()


class TestEqualBodies:
    """Guards against taking prompts that differ in the header for one request."""

    def test_sound_prompts_are_served_beside_one_that_crashes(
        self, instances, clock, endpoints
    ):
        sound, deadly = (
            (*PARTS[:1], PromptPart(name, 100)) for name in ("sound", "deadly")
        )
        for number in range(2 * MAX_RUNS):
            guard = instances[0].start(make_request(number, sound))
            guard.record_answer(ANSWER)
            with contextlib.suppress(RefusedError):
                crasher = instances[0].start(make_request(number, deadly))
                break_off(crasher, endpoints, "after an event")
            clock.advance(timedelta(seconds=2))
        instances[0].start(make_request(98, sound))
        with pytest.raises(RefusedError):
            instances[0].start(make_request(99, deadly))
        assert endpoints.count <= MAX_RUNS

    def test_prompts_with_other_shared_parts_are_other_requests(self):
        keys = [
            make_keys(make_request(1, (PromptPart(name, 9), PARTS[1])), "s").request
            for name in ("a", "b")
        ]
        assert keys[0] != keys[1]
