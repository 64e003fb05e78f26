from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.clock import ManualClock
from oriolepaddle.signals import EndpointPauses
from oriolepaddle.signals.pauses import FULL_ALLOWANCE, MAX_ENTRIES

ENDPOINT = "e1@1"
MAX_PAUSE = timedelta(seconds=600)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pauses(clock):
    return EndpointPauses(clock, MAX_PAUSE)


class TestPause:
    def test_lasts_as_long_as_the_endpoint_asked(self, pauses, clock):
        pauses.begin(ENDPOINT, timedelta(seconds=2))
        clock.advance(timedelta(seconds=1.9))
        assert not pauses.may_send(ENDPOINT, 0)
        assert pauses.remaining_s(ENDPOINT) == pytest.approx(0.1)
        clock.advance(timedelta(seconds=0.2))
        assert pauses.may_send(ENDPOINT, 0)
        assert pauses.may_send("e1@2", 0)

    def test_is_not_cut_by_a_shorter_one(self, pauses, clock):
        pauses.begin(ENDPOINT, timedelta(seconds=5))
        pauses.begin(ENDPOINT, timedelta(seconds=1))
        clock.advance(timedelta(seconds=4))
        assert not pauses.may_send(ENDPOINT, 0)

    def test_has_an_upper_bound(self, pauses, clock):
        pauses.begin(ENDPOINT, timedelta(days=300))
        clock.advance(MAX_PAUSE)
        assert pauses.may_send(ENDPOINT, 0)

    def test_is_followed_by_sends_that_grow_with_their_success(self, pauses, clock):
        pauses.begin(ENDPOINT, timedelta(seconds=1))
        clock.advance(timedelta(seconds=1))
        allowance = 1
        while allowance < FULL_ALLOWANCE:
            assert pauses.may_send(ENDPOINT, allowance - 1)
            assert not pauses.may_send(ENDPOINT, allowance)
            pauses.record_success(ENDPOINT)
            allowance *= 2
        assert pauses.may_send(ENDPOINT, 1000)

    def test_does_not_end_with_the_success_of_an_earlier_request(self, pauses):
        pauses.begin(ENDPOINT, timedelta(seconds=5))
        pauses.record_success(ENDPOINT)
        assert not pauses.may_send(ENDPOINT, 0)

    def test_of_many_incarnations_takes_bounded_memory(self, pauses):
        for number in range(MAX_ENTRIES + 1):
            pauses.begin(f"e{number}@1", timedelta(seconds=5))
        assert pauses.remaining_s("e0@1") == 0
        assert pauses.remaining_s(f"e{MAX_ENTRIES}@1") > 0


class PauseMachine(RuleBasedStateMachine):
    """Any sequence of answers, against the ends that the endpoint named."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.pauses = EndpointPauses(self.clock, MAX_PAUSE)
        self.until_s = float("-inf")
        self.in_flight = 0

    @rule(milliseconds=st.integers(1, 3000))
    def pass_time(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule()
    def send(self):
        if self.pauses.may_send(ENDPOINT, self.in_flight):
            assert self.clock.monotonic_s() >= self.until_s
            self.in_flight += 1

    @rule(has_run=st.booleans(), milliseconds=st.integers(0, 10_000))
    def answer(self, has_run, milliseconds):
        seconds = milliseconds / 1000
        if not self.in_flight:
            return
        self.in_flight -= 1
        if has_run:
            self.pauses.record_success(ENDPOINT)
            return
        self.pauses.begin(ENDPOINT, timedelta(seconds=seconds))
        self.until_s = max(self.until_s, self.clock.monotonic_s() + seconds)

    @invariant()
    def endpoint_is_not_shut_out_for_longer(self):
        now_s = self.clock.monotonic_s()
        assert now_s < self.until_s + 1e-6 or self.pauses.may_send(ENDPOINT, 0)


TestPauseMachine = PauseMachine.TestCase
TestPauseMachine.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
