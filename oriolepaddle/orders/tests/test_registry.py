import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import (
    EndpointFailedError,
    EndpointRefusedError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusedError,
)
from oriolepaddle.orders import (
    OrderAnswer,
    OrderLimits,
    OrderNumberCodec,
    OrderRegistry,
)
from oriolepaddle.orders.limits import RECORD_BYTES
from oriolepaddle.peers import PeerIdentity

IDENTITY = PeerIdentity("a", 7, "lombardia-lodi")
ANSWER = OrderAnswer(201, (("content-type", "text/plain"),), b"booked", "r1")
HOUR = timedelta(hours=1)


class Runner:
    """Counts its runs; each returns or raises the next of the given results."""

    def __init__(self, *results):
        self.results = list(results)
        self.runs = 0

    def __call__(self):
        self.runs += 1
        result = self.results.pop(0) if self.results else ANSWER
        if isinstance(result, BaseException):
            raise result
        return result


def make_registry(clock=None, **changes):
    codec = OrderNumberCodec((b"secret",))
    clock = clock or ManualClock()
    return OrderRegistry(IDENTITY, codec, clock, OrderLimits(**changes))


def code_of(call, *args, **kwargs):
    with pytest.raises(OriolepaddleError) as caught:
        call(*args, **kwargs)
    return caught.value.code, caught.value.outcome


UNKNOWN = (ErrorCode.ORDER_OUTCOME_UNKNOWN, Outcome.UNKNOWN)
GONE = (ErrorCode.ORDER_ANSWER_GONE, Outcome.RUN)
CONFLICT = (ErrorCode.ORDER_CONFLICT, Outcome.NOT_RUN)
DRAINING = (ErrorCode.DRAINING, Outcome.NOT_RUN)
IN_PROGRESS = (ErrorCode.ORDER_IN_PROGRESS, Outcome.UNKNOWN)
INVALID = (ErrorCode.ORDER_NUMBER_INVALID, Outcome.NOT_RUN)


class TestOrderNumberCodec:
    def test_numbers_name_their_issuer(self):
        registry = make_registry()
        number = registry.issue("office")
        assert registry.issuer(number) == IDENTITY
        assert registry.is_own(registry.parse(number, "office"))

    @pytest.mark.parametrize(
        "forge",
        [
            lambda number: "booking-1",
            lambda number: "",
            lambda number: number[:-2],
            lambda number: number + "é",
            lambda number: number.replace("order-1.", "order-1.A"),
            lambda number: number.rpartition(".")[0] + ".AAAA",
            lambda number: "order-1.." + number,
            lambda number: "order-1." + "A" * 2000,
        ],
    )
    def test_numbers_not_issued_are_refused(self, forge):
        registry = make_registry()
        runner = Runner()
        number = forge(registry.issue("office"))
        assert code_of(registry.run, number, "office", b"d", runner) == INVALID
        assert runner.runs == 0

    def test_every_altered_character_is_refused(self):
        registry = make_registry()
        number = registry.issue("office")
        for index in range(len(number) - 1):
            letter = "B" if number[index] != "B" else "C"
            altered = number[:index] + letter + number[index + 1 :]
            assert code_of(registry.parse, altered, "office") == INVALID

    def test_numbers_of_other_organisations_are_refused(self):
        registry = make_registry()
        number = registry.issue("office")
        assert code_of(registry.run, number, "other", b"d", Runner()) == INVALID

    def test_earlier_secret_is_recognised(self):
        number = make_registry().issue("office")
        rotated = OrderNumberCodec((b"new", b"secret"))
        assert rotated.parse(number, "office").issuer == IDENTITY
        with pytest.raises(RefusedError):
            OrderNumberCodec((b"new",)).parse(number, "office")


class TestOrderRegistry:
    def test_repeat_gets_the_stored_answer(self):
        registry, runner = make_registry(), Runner()
        number = registry.issue("office")
        answers = [registry.run(number, "office", b"d", runner) for _ in range(3)]
        assert answers == [ANSWER] * 3
        assert runner.runs == 1

    def test_other_request_conflicts(self):
        registry, runner = make_registry(), Runner()
        number = registry.issue("office")
        registry.run(number, "office", b"d", runner)
        assert code_of(registry.run, number, "office", b"e", runner) == CONFLICT
        assert runner.runs == 1

    def test_not_run_leaves_the_number_unused(self):
        registry = make_registry()
        runner = Runner(EndpointRefusedError("busy"), ANSWER)
        number = registry.issue("office")
        refused = code_of(registry.run, number, "office", b"d", runner)
        assert refused == (ErrorCode.ENDPOINT_REFUSED, Outcome.NOT_RUN)
        assert registry.run(number, "office", b"d", runner) == ANSWER
        assert runner.runs == 2

    @pytest.mark.parametrize(
        "error", [EndpointFailedError("broke"), KeyError("bug"), SystemExit()]
    )
    def test_other_failures_consume_the_number(self, error):
        registry, runner = make_registry(), Runner(error)
        number = registry.issue("office")
        with pytest.raises(type(error)):
            registry.run(number, "office", b"d", runner)
        for _ in range(2):
            assert code_of(registry.run, number, "office", b"d", runner) == UNKNOWN
        assert runner.runs == 1
        assert registry.in_flight == 0

    def test_failed_recheck_leaves_the_number_unused(self):
        registry, runner = make_registry(), Runner()
        number = registry.issue("office")
        withdrawn = Runner(RefusedError("gone", code=ErrorCode.KEY_WITHDRAWN))
        refused = code_of(registry.run, number, "office", b"d", runner, withdrawn)
        assert refused == (ErrorCode.KEY_WITHDRAWN, Outcome.NOT_RUN)
        assert runner.runs == 0
        assert registry.run(number, "office", b"d", runner) == ANSWER

    def test_other_process_of_the_same_incarnation_is_unknown(self):
        runner = Runner()
        number = make_registry().issue("office")
        assert code_of(make_registry().run, number, "office", b"d", runner) == UNKNOWN
        assert runner.runs == 0

    def test_expired_number_never_runs(self):
        clock = ManualClock()
        registry, runner = make_registry(clock, lifetime=HOUR), Runner()
        unused, used = registry.issue("office"), registry.issue("office")
        registry.run(used, "office", b"d", runner)
        clock.advance(HOUR + timedelta(seconds=61))
        for number in (unused, used, unused):
            registry.run(registry.issue("office"), "office", b"d", Runner())
            assert code_of(registry.run, number, "office", b"d", runner) == UNKNOWN
        assert runner.runs == 1
        assert registry.record_count == 3

    def test_flood_shortens_only_its_own_organisation(self):
        registry, runner = make_registry(max_bytes=10_000), Runner()
        quiet = registry.issue("quiet")
        registry.run(quiet, "quiet", b"d", runner)
        flood = [registry.issue("loud") for _ in range(100)]
        for number in flood:
            registry.run(number, "loud", b"d", runner)
            assert registry.size_bytes <= 10_000
        assert registry.run(quiet, "quiet", b"d", runner) == ANSWER
        assert code_of(registry.run, flood[0], "loud", b"d", runner) == UNKNOWN
        assert runner.runs == 101

    def test_memory_is_shared_by_answers_and_records(self):
        registry, runner = make_registry(max_bytes=50_000), Runner()
        numbers = [registry.issue("loud") for _ in range(500)]
        for number in numbers:
            registry.run(number, "loud", b"d", runner)
        results = [self.repeat(registry, number, runner) for number in numbers]
        stored, gone, unknown = (
            results.count(each) for each in ("stored", GONE, UNKNOWN)
        )
        assert results == [UNKNOWN] * unknown + [GONE] * gone + ["stored"] * stored
        assert gone > 0
        assert stored * ANSWER.size_bytes >= 20_000
        assert (stored + gone) * RECORD_BYTES >= 20_000
        assert runner.runs == 500

    def repeat(self, registry, number, runner):
        try:
            assert registry.run(number, "loud", b"d", runner) == ANSWER
        except OriolepaddleError as error:
            return (error.code, error.outcome)
        return "stored"

    def test_order_without_a_stored_answer_is_reported_as_run(self):
        registry, runner = make_registry(max_answer_bytes=3), Runner()
        number = registry.issue("office")
        assert registry.run(number, "office", b"d", runner) == ANSWER
        assert code_of(registry.run, number, "office", b"d", runner) == GONE
        assert runner.runs == 1

    def test_drain_refuses_first_runs_and_answers_repeats(self):
        registry, runner = make_registry(), Runner()
        used, unused = registry.issue("office"), registry.issue("office")
        registry.run(used, "office", b"d", runner)
        assert registry.drain(timedelta(seconds=1)) == 0
        assert registry.run(used, "office", b"d", runner) == ANSWER
        assert code_of(registry.run, unused, "office", b"d", runner) == DRAINING
        assert code_of(registry.issue, "office") == DRAINING
        assert [order.answer for order in registry.answered_orders()] == [ANSWER]

    def test_order_paused_during_the_drain_is_not_sent(self):
        clock = ManualClock()
        registry, runner = make_registry(clock), Runner()
        number = registry.issue("office")

        def drain_after_a_pause():
            clock.advance(timedelta(seconds=5))
            in_flight = registry.drain(timedelta(0))
            assert in_flight == 1
            raise RefusedError("late", code=ErrorCode.DEADLINE_UNREACHABLE)

        code, outcome = code_of(
            registry.run, number, "office", b"d", runner, drain_after_a_pause
        )
        assert (code, outcome) == (ErrorCode.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
        assert runner.runs == 0
        assert registry.drain(timedelta(0)) == 0


class TestConcurrentRepeats:
    def test_concurrent_repeats_share_one_run(self):
        registry = make_registry()
        number = registry.issue("office")
        entered, release = threading.Event(), threading.Event()

        def wait():
            entered.set()
            assert release.wait(30)
            return ANSWER

        runner = Runner()
        with ThreadPoolExecutor(5) as pool:
            first = pool.submit(registry.run, number, "office", b"d", wait)
            assert entered.wait(30)
            no_wait = timedelta(0)
            repeat = registry.run
            busy = code_of(repeat, number, "office", b"d", runner, wait=no_wait)
            others = [
                pool.submit(registry.run, number, "office", b"d", runner)
                for _ in range(4)
            ]
            release.set()
            answers = [each.result(30) for each in [first, *others]]
        assert busy == IN_PROGRESS
        assert answers == [ANSWER] * 5
        assert runner.runs == 0

    def test_waiters_are_bounded(self):
        registry = make_registry(max_waiters=0)
        number = registry.issue("office")

        def repeat():
            call = registry.run
            assert code_of(call, number, "office", b"d", Runner()) == IN_PROGRESS
            return ANSWER

        assert registry.run(number, "office", b"d", repeat) == ANSWER
