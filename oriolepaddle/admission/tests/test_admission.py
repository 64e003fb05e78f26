import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from oriolepaddle.admission import Admission, AdmissionLimits, Aim
from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError

TIMEOUT_S = 30


class DelayingClock(ManualClock):
    """A clock that advances by a minute between an event and its waiter's wake-up."""

    def wait(self, event, timeout):
        is_set = super().wait(event, timeout)
        self.advance(timedelta(minutes=1))
        return is_set


class Bench:
    """An admission with a fixed number of slots and threads that enter it."""

    def __init__(self, allowed=1, aim=Aim.WORST_SERVED, **limits):
        self.clock = ManualClock()
        self.allowed = allowed
        self.admission = Admission(
            self.clock, lambda: self.allowed, aim, AdmissionLimits(**limits)
        )
        self.pool = ThreadPoolExecutor(16)

    def enter(self, organisation="norddal", deadline_s=100.0, weight=1.0, priority=0):
        return self.admission.enter(
            organisation, weight, 100, 100, deadline_s, priority
        )

    def start(self, organisation="norddal", **values):
        """Enter on another thread; return once it waits or is done."""
        waiting = self.admission.waiting
        future = self.pool.submit(self.enter, organisation, **values)
        while self.admission.waiting == waiting and not future.done():
            threading.Event().wait(0.001)
        return future


@pytest.fixture
def make_bench():
    benches = []

    def make(*arguments, **values):
        benches.append(Bench(*arguments, **values))
        return benches[-1]

    yield make
    for bench in benches:
        bench.allowed = 100
        bench.admission.capacity_changed()
        bench.clock.advance(timedelta(hours=1))
        bench.pool.shutdown()


def refusal(future):
    with pytest.raises(RefusedError) as caught:
        future.result(TIMEOUT_S)
    assert caught.value.outcome is Outcome.NOT_RUN
    return caught.value.code


class TestAdmission:
    def test_enters_at_once_when_a_slot_is_free(self, make_bench):
        bench = make_bench()
        with bench.enter():
            assert bench.admission.running == 1
        assert bench.admission.running == 0

    def test_release_admits_the_next(self, make_bench):
        bench = make_bench()
        first = bench.enter()
        future = bench.start()
        assert not future.done()
        first.release()
        assert future.result(TIMEOUT_S)

    def test_release_is_idempotent(self, make_bench):
        bench = make_bench()
        first = bench.enter()
        futures = [bench.start(), bench.start()]
        first.release()
        first.release()
        assert bench.admission.running == 1
        assert bench.admission.waiting == 1
        assert sum(future.done() for future in futures) <= 1

    def test_increased_capacity_admits(self, make_bench):
        bench = make_bench()
        bench.enter()
        future = bench.start()
        bench.allowed = 2
        bench.admission.capacity_changed()
        assert future.result(TIMEOUT_S)

    def test_no_capacity_admits_none(self, make_bench):
        bench = make_bench(allowed=0)
        future = bench.start()
        bench.admission.capacity_changed()
        assert not future.done()

    def test_many_threads_do_not_exceed_the_slots(self, make_bench):
        bench = make_bench(allowed=3)
        running_counts = []

        def work():
            with bench.enter():
                running_counts.append(bench.admission.running)

        futures = [bench.pool.submit(work) for _ in range(200)]
        for future in futures:
            future.result(TIMEOUT_S)
        assert max(running_counts) <= 3
        assert bench.admission.running == bench.admission.waiting == 0


class TestRefusals:
    def test_wait_is_limited(self, make_bench):
        bench = make_bench(wait_s=5.0)
        bench.enter()
        future = bench.start()
        bench.clock.advance(timedelta(seconds=5))
        assert refusal(future) is ErrorCode.OVERLOADED
        assert bench.admission.waiting == 0

    def test_passed_deadline_is_refused_at_once(self, make_bench):
        bench = make_bench()
        with pytest.raises(RefusedError) as caught:
            bench.enter(deadline_s=0.0)
        assert caught.value.code is ErrorCode.DEADLINE_UNREACHABLE

    def test_unreachable_deadline_is_refused_at_once(self, make_bench):
        bench = make_bench()
        slot = bench.enter()
        bench.clock.advance(timedelta(seconds=10))
        slot.release()
        bench.enter()
        bench.start()
        with pytest.raises(RefusedError) as caught:
            bench.enter(deadline_s=20.0)
        assert caught.value.code is ErrorCode.DEADLINE_UNREACHABLE
        assert caught.value.retry_after >= timedelta(seconds=1)

    def test_long_estimate_does_not_refuse_when_a_slot_is_free(self, make_bench):
        bench = make_bench()
        slot = bench.enter()
        bench.clock.advance(timedelta(hours=1))
        slot.release()
        with bench.enter(deadline_s=3601.0):
            assert bench.admission.running == 1

    def test_request_is_not_run_after_a_wait_past_its_deadline(self, make_bench):
        bench = make_bench()
        first = bench.enter()
        future = bench.start(deadline_s=50.0)
        bench.clock.advance(timedelta(seconds=60))
        first.release()
        assert refusal(future) is ErrorCode.DEADLINE_UNREACHABLE
        assert bench.admission.running == 0

    def test_request_is_not_run_if_its_thread_wakes_up_past_its_deadline(self):
        clock = DelayingClock()
        admission = Admission(clock, lambda: 1)
        with pytest.raises(RefusedError) as caught:
            admission.enter("norddal", 1.0, 100, 100, deadline_s=50.0)
        assert caught.value.code is ErrorCode.DEADLINE_UNREACHABLE
        assert caught.value.outcome is Outcome.NOT_RUN
        assert admission.running == 0

    def test_full_queue_drops_from_the_longest_flow(self, make_bench):
        bench = make_bench(queue_length=3)
        bench.enter("large")
        large = [bench.start("large", deadline_s=90.0 + n) for n in range(3)]
        small = bench.pool.submit(bench.enter, "small")
        assert refusal(large[2]) is ErrorCode.OVERLOADED
        with pytest.raises(RefusedError) as caught:
            bench.enter("large", deadline_s=99.0)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert not small.done()


class TestOrder:
    def admit_all(self, bench, slot, futures):
        order = []
        while futures:
            slot.release()
            waiting = bench.admission.waiting
            while not any(future.done() for future in futures.values()):
                threading.Event().wait(0.001)
            name = next(name for name, future in futures.items() if future.done())
            slot = futures.pop(name).result(TIMEOUT_S)
            order.append(name)
            assert bench.admission.waiting == waiting
        slot.release()
        return order

    def test_small_organisation_is_not_delayed_by_a_large_one(self, make_bench):
        bench = make_bench()
        slot = bench.enter("large")
        futures = {f"large{n}": bench.start("large") for n in range(4)}
        futures["small"] = bench.start("small")
        order = self.admit_all(bench, slot, futures)
        assert order.index("small") <= 1

    def test_higher_weight_gets_more_admissions(self, make_bench):
        bench = make_bench()
        slot = bench.enter("other")
        futures = {f"a{n}": bench.start("a", weight=3.0) for n in range(6)}
        futures |= {f"b{n}": bench.start("b", weight=1.0) for n in range(6)}
        order = self.admit_all(bench, slot, futures)
        assert sum(name.startswith("a") for name in order[:8]) == 6

    def test_order_within_an_organisation_is_by_deadline(self, make_bench):
        bench = make_bench()
        slot = bench.enter()
        futures = {f"{d}": bench.start(deadline_s=float(d)) for d in (90, 60, 75)}
        assert self.admit_all(bench, slot, futures) == ["60", "75", "90"]

    def test_priority_takes_precedence_over_the_deadline(self, make_bench):
        bench = make_bench()
        slot = bench.enter()
        futures = {"low": bench.start(deadline_s=60.0)}
        futures["high"] = bench.start(deadline_s=90.0, priority=1)
        assert self.admit_all(bench, slot, futures) == ["high", "low"]

    @pytest.mark.parametrize("aim", list(Aim))
    def test_both_aims_share_fairly(self, make_bench, aim):
        bench = make_bench(aim=aim)
        slot = bench.enter("large")
        futures = {f"{d}": bench.start("large", deadline_s=float(d)) for d in (50, 60)}
        futures["70"] = bench.start("small", deadline_s=70.0)
        assert self.admit_all(bench, slot, futures).index("70") <= 1


class TestAim:
    @pytest.mark.parametrize(
        ("aim", "waits"), [(Aim.WORST_SERVED, True), (Aim.TAIL_LATENCY, False)]
    )
    def test_tail_latency_refuses_sooner(self, make_bench, aim, waits):
        bench = make_bench(aim=aim, wait_s=AdmissionLimits.of(aim).wait_s)
        slot = bench.enter()
        future = bench.start()
        bench.clock.advance(timedelta(seconds=5))
        if not waits:
            assert refusal(future) is ErrorCode.OVERLOADED
        slot.release()
        if waits:
            assert future.result(TIMEOUT_S)
