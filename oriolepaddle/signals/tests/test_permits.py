from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import DrawResult
from oriolepaddle.signals import EndpointPermits, EndpointSignals, SignalBoard
from oriolepaddle.signals.permits import LIMIT_PREFIX, ZERO_PAUSE_S

ENDPOINT = "e1@1"
WINDOW_S = 4.0


def make_permits(clock, find_share=lambda: 1.0):
    board = SignalBoard(clock)
    return board, EndpointPermits(clock, board, find_share)


def name_limit(board, clock, limit_per_s):
    board.record(
        ENDPOINT, EndpointSignals(limit_per_s=limit_per_s), clock.monotonic_s()
    )


def send_for(permits, clock, duration_s, step_s=0.05):
    """Send whenever there is a permit; return the number of requests."""
    sent = 0
    for _ in range(int(duration_s / step_s)):
        clock.advance(timedelta(seconds=step_s))
        sent += permits.acquire(ENDPOINT)
    return sent


@pytest.fixture
def clock():
    return ManualClock()


class TestPermits:
    def test_of_an_endpoint_without_a_limit_are_free(self, clock):
        _, permits = make_permits(clock)
        assert all(permits.acquire(ENDPOINT) for _ in range(100))

    @pytest.mark.parametrize("limit", [0.3, 1.0, 20.0])
    def test_are_as_many_as_the_limit_allows(self, clock, limit):
        board, permits = make_permits(clock)
        name_limit(board, clock, limit)
        send_for(permits, clock, 10)
        sent = send_for(permits, clock, 60)
        assert sent == pytest.approx(60 * limit, rel=0.2, abs=1)

    def test_follow_a_limit_that_changes(self, clock):
        board, permits = make_permits(clock)
        name_limit(board, clock, 20.0)
        send_for(permits, clock, 4)
        name_limit(board, clock, 1.0)
        assert send_for(permits, clock, WINDOW_S) <= 1.5 * WINDOW_S + 5

    def test_are_free_again_once_the_limit_is_lifted(self, clock):
        board, permits = make_permits(clock)
        name_limit(board, clock, 1.0)
        send_for(permits, clock, 4)
        clock.advance(timedelta(seconds=1))
        board.record(ENDPOINT, EndpointSignals(), clock.monotonic_s())
        permits.forget_lifted()
        assert all(permits.acquire(ENDPOINT) for _ in range(100))

    def test_of_an_endpoint_that_takes_nothing_are_one_in_a_long_time(self, clock):
        board, permits = make_permits(clock)
        name_limit(board, clock, 0.0)
        assert send_for(permits, clock, ZERO_PAUSE_S - 1) == 0
        clock.advance(timedelta(seconds=2))
        assert permits.acquire(ENDPOINT)
        name_limit(board, clock, 0.0)
        assert not permits.acquire(ENDPOINT)

    def test_without_a_share_are_drawn(self, clock):
        board, permits = make_permits(clock, lambda: 0.0)
        name_limit(board, clock, 1.0)
        assert not permits.acquire(ENDPOINT)
        with pytest.raises(RefusedError):
            permits.draw(ENDPOINT)
        names = []

        class Pool:
            def draw(self, organisation, tokens, available):
                names.append(organisation)
                return DrawResult(1)

        permits.connect(Pool())
        permits.draw(ENDPOINT)
        assert names == [LIMIT_PREFIX + ENDPOINT]


class LimitedEndpointMachine(RuleBasedStateMachine):
    """Shares of a limit move between instances that all have requests to send."""

    PARTS = 8
    LIMIT = 1.0

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.holders = [0] * self.PARTS
        self.boards, self.permits = [], []
        for name in range(4):
            board, permits = make_permits(self.clock, lambda n=name: self.share(n))
            name_limit(board, self.clock, self.LIMIT)
            self.boards.append(board)
            self.permits.append(permits)
        self.sent = []

    def share(self, name):
        return self.holders.count(name) / self.PARTS

    @rule(milliseconds=st.integers(1, 700))
    def pass_time(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule(part=st.integers(0, PARTS - 1), holder=st.integers(-1, 3))
    def move_part(self, part, holder):
        # Losing and regaining a part takes longer than the refresh interval.
        former = self.holders[part]
        if former >= 0:
            self.permits[former].can_acquire(ENDPOINT)
        self.holders[part] = -1
        if former >= 0:
            self.permits[former].can_acquire(ENDPOINT)
        self.holders[part] = holder
        if holder >= 0:
            self.permits[holder].can_acquire(ENDPOINT)

    @rule(name=st.integers(0, 3), count=st.integers(1, 5))
    def send(self, name, count):
        for _ in range(count):
            if self.permits[name].acquire(ENDPOINT):
                self.sent.append(self.clock.monotonic_s())

    @invariant()
    def endpoint_gets_what_it_allows(self):
        now_s = self.clock.monotonic_s()
        recent = [sent_s for sent_s in self.sent if sent_s > now_s - WINDOW_S]
        assert len(recent) <= 1.5 * self.LIMIT * WINDOW_S + 5


TestLimitedEndpointMachine = LimitedEndpointMachine.TestCase
TestLimitedEndpointMachine.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
