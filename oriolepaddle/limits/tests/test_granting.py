from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.clock import ManualClock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError
from oriolepaddle.limits import (
    DrawResult,
    GrantingLimiter,
    PooledLimiter,
    TokenNeed,
)

RATE, BURST = 1000.0, 2000.0
ORGANISATION = Organisation("norddal", RATE, BURST)


def make_limiter(clock, share=1.0):
    return GrantingLimiter(clock, lambda: share, lambda name: ORGANISATION)


class TestGrantingLimiter:
    def test_starts_empty(self):
        limiter = make_limiter(ManualClock())
        with pytest.raises(RefusedError) as caught:
            limiter.reserve(ORGANISATION, 1)
        assert caught.value.code is ErrorCode.RATE_LIMITED
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_accrues_tokens_from_the_start(self):
        clock = ManualClock()
        limiter = make_limiter(clock)
        clock.advance(timedelta(seconds=1))
        limiter.reserve(ORGANISATION, RATE)

    def test_mints_its_share(self):
        clock = ManualClock()
        limiter = make_limiter(clock, share=0.25)
        clock.advance(timedelta(seconds=60))
        limiter.reserve(ORGANISATION, BURST / 4)
        with pytest.raises(RefusedError):
            limiter.reserve(ORGANISATION, 1)

    def test_released_tokens_can_be_reserved_again(self):
        clock = ManualClock()
        limiter = make_limiter(clock)
        clock.advance(timedelta(seconds=60))
        limiter.reserve(ORGANISATION, BURST).release()
        limiter.reserve(ORGANISATION, BURST)

    def test_granted_tokens_are_withdrawn(self):
        clock = ManualClock()
        limiter = make_limiter(clock)
        clock.advance(timedelta(seconds=60))
        granted = limiter.grant({"norddal": TokenNeed(0, 500)}, {"norddal": 0})
        assert granted == {"norddal": 500}
        with pytest.raises(RefusedError):
            limiter.reserve(ORGANISATION, BURST - 499)


class EmptyPool:
    def draw(self, organisation, tokens, available):
        return DrawResult(0, timedelta(seconds=0.5))


class FullPool:
    def __init__(self):
        self.drawn = 0

    def draw(self, organisation, tokens, available):
        self.drawn += int(tokens - available)
        return DrawResult(int(tokens - available))


class TestPooledLimiter:
    def test_draws_missing_tokens(self):
        clock = ManualClock()
        own = make_limiter(clock, share=0.1)
        clock.advance(timedelta(seconds=60))
        pool = FullPool()
        PooledLimiter(own, pool).reserve(ORGANISATION, 500).settle(500)
        assert pool.drawn == 300
        assert own.available(ORGANISATION) == 0

    def test_refusal_has_the_retry_after_of_the_pool(self):
        own = make_limiter(ManualClock(), share=0.0)
        with pytest.raises(RefusedError) as caught:
            PooledLimiter(own, EmptyPool()).reserve(ORGANISATION, 100)
        assert caught.value.retry_after == timedelta(seconds=0.5)

    def test_retains_drawn_tokens_of_a_released_request(self):
        own = make_limiter(ManualClock(), share=0.0)
        PooledLimiter(own, FullPool()).reserve(ORGANISATION, 100).release()
        own.reserve(ORGANISATION, 100)


class ConservationMachine(RuleBasedStateMachine):
    """Instances that mint shares, spend tokens and grant them; grants may be lost."""

    INSTANCES = 3

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.limiters = [
            make_limiter(self.clock, 1 / self.INSTANCES) for _ in range(self.INSTANCES)
        ]
        self.in_transit = []
        self.spent = 0.0

    @rule(milliseconds=st.integers(1, 3000))
    def pass_time(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule(index=st.integers(0, 2), tokens=st.integers(1, 900))
    def spend(self, index, tokens):
        try:
            self.limiters[index].reserve(ORGANISATION, tokens).settle(tokens)
        except RefusedError:
            return
        self.spent += tokens

    @rule(index=st.integers(0, 2), to=st.integers(0, 2), wanted=st.integers(1, 2000))
    def grant(self, index, to, wanted):
        grants = self.limiters[index].grant({"norddal": TokenNeed(0, wanted)}, {})
        self.in_transit.append((to, grants))

    @rule(is_lost=st.booleans())
    def deliver(self, is_lost):
        if self.in_transit:
            to, grants = self.in_transit.pop()
            if not is_lost:
                self.limiters[to].receive(grants)

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.limiters[index] = make_limiter(self.clock, 1 / self.INSTANCES)

    @invariant()
    def never_more_than_rate_and_burst(self):
        assert self.spent <= RATE * self.clock.monotonic_s() + BURST


TestConservation = ConservationMachine.TestCase
TestConservation.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
