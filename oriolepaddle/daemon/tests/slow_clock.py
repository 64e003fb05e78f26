"""A slowed clock, for measurements on a busy machine."""

import threading
from datetime import UTC, datetime, timedelta

from oriolepaddle.clock import Clock, SystemClock

__all__ = ["SlowClock"]


class SlowClock:
    """The system's clock, slowed down.

    A time measured with it consists mostly of what the code under test waits for,
    and of little that a busy machine takes to run the code.

    Args:
        factor: Seconds of the system's clock per second of this clock.
    """

    def __init__(self, factor: float) -> None:
        self._system: Clock = SystemClock()
        self._factor = factor
        self._start_s = self._system.monotonic_s()
        self._start_time = datetime.now(UTC)

    def now(self) -> datetime:
        """Return the slowed time in UTC."""
        return self._start_time + timedelta(seconds=self.monotonic_s() - self._start_s)

    def monotonic_s(self) -> float:
        """Return the slowed seconds."""
        elapsed_s = self._system.monotonic_s() - self._start_s
        return self._start_s + elapsed_s / self._factor

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait for `event`, at most `timeout` of slowed time."""
        return self._system.wait(event, timeout * self._factor)
