from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.startup_retry import MAX_WAIT, STARTUP_PERIOD, StartupRetry
from oriolepaddle.errors import ErrorCode, RefusedError


class SteppingClock(ManualClock):
    """A clock that each wait advances."""

    def wait(self, event, timeout):
        self.advance(timeout)
        return event.is_set()


class Tokens:
    """Tokens that become available at a given time."""

    def __init__(self, clock, at_s, code=ErrorCode.RATE_LIMITED):
        self.clock = clock
        self.at_s = at_s
        self.code = code
        self.attempts = 0

    def __call__(self):
        self.attempts += 1
        if self.clock.monotonic_s() < self.at_s:
            raise RefusedError("none yet", code=self.code)
        return "reserved"


@pytest.fixture
def clock():
    return SteppingClock()


class TestStartupRetry:
    @pytest.mark.parametrize("code", [ErrorCode.RATE_LIMITED, ErrorCode.NOT_READY])
    def test_request_waits_for_a_starting_instance(self, clock, code):
        """Guards against refusals when callers reconnect at once after a power loss."""
        startup_retry = StartupRetry(clock)
        tokens = Tokens(clock, 0.5, code)
        assert startup_retry.call(tokens, "r", 0.0) == "reserved"
        assert 0.5 <= clock.monotonic_s() < 0.7

    def test_wait_is_bounded(self, clock):
        startup_retry = StartupRetry(clock)
        with pytest.raises(RefusedError):
            startup_retry.call(Tokens(clock, 60.0), "r", 0.0)
        assert clock.monotonic_s() <= MAX_WAIT.total_seconds()

    def test_wait_counts_from_the_arrival(self, clock):
        startup_retry = StartupRetry(clock)
        clock.advance(timedelta(seconds=1))
        with pytest.raises(RefusedError):
            startup_retry.call(Tokens(clock, 60.0), "r", 0.1)
        assert clock.monotonic_s() == 1.0

    def test_started_instance_refuses_at_once(self, clock):
        startup_retry = StartupRetry(clock)
        clock.advance(STARTUP_PERIOD)
        tokens = Tokens(clock, 60.0)
        with pytest.raises(RefusedError):
            startup_retry.call(tokens, "r", clock.monotonic_s())
        assert tokens.attempts == 1

    def test_other_refusals_are_not_delayed(self, clock):
        tokens = Tokens(clock, 60.0, ErrorCode.OVERLOADED)
        with pytest.raises(RefusedError):
            StartupRetry(clock).call(tokens, "r", 0.0)
        assert tokens.attempts == 1
