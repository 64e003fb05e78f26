"""A clock that a test or an experiment advances."""

import threading
from datetime import UTC, datetime, timedelta

__all__ = ["ManualClock"]


class ManualClock:
    """A clock that moves only when `advance` is called.

    Args:
        start: The initial wall-clock time.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed_s = 0.0
        self._advanced = threading.Condition()

    def now(self) -> datetime:
        """Return the simulated time in UTC."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def monotonic_s(self) -> float:
        """Return the seconds that `advance` has added."""
        return self._elapsed_s

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward by `duration` and wake the waiters."""
        with self._advanced:
            self._elapsed_s += duration.total_seconds()
            self._advanced.notify_all()

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait until `event` is set or the clock has moved by `timeout`."""
        deadline_s = self._elapsed_s + timeout.total_seconds()
        with self._advanced:
            while not event.is_set() and self._elapsed_s < deadline_s:
                self._advanced.wait(POLL_INTERVAL_S)
        return event.is_set()


POLL_INTERVAL_S = 0.01
