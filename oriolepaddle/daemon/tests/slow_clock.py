"""A clock on which a busy machine loses little time."""

import threading
from datetime import UTC, datetime, timedelta

from oriolepaddle.clock import Clock, SystemClock

__all__ = ["SlowClock"]


class SlowClock:
    """The system's clock, slowed down.

    What a test measures by it is what the code under test waits for, and little
    of what the machine takes to run it.

    Args:
        factor: Seconds of the system's clock for each second of this one.
    """

    def __init__(self, factor: float) -> None:
        self._system: Clock = SystemClock()
        self._factor = factor
        self._began_s = self._system.monotonic_s()
        self._began = datetime.now(UTC)

    def now(self) -> datetime:
        """Return the slowed time in UTC."""
        return self._began + timedelta(seconds=self.monotonic_s() - self._began_s)

    def monotonic_s(self) -> float:
        """Return the slowed seconds."""
        elapsed_s = self._system.monotonic_s() - self._began_s
        return self._began_s + elapsed_s / self._factor

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait for `event`, at most `timeout` of slowed time."""
        return self._system.wait(event, timeout * self._factor)
