"""The clock of the machine."""

import threading
import time
from datetime import UTC, datetime, timedelta

__all__ = ["SystemClock"]


class SystemClock:
    """The machine's clock.

    Monotonic time is `CLOCK_BOOTTIME`, which includes the time in suspend: a lease
    must not last longer because its holder was suspended.
    """

    def now(self) -> datetime:
        """Return the wall clock's time in UTC."""
        return datetime.fromtimestamp(time.clock_gettime(time.CLOCK_REALTIME), UTC)

    def monotonic_s(self) -> float:
        """Return the seconds since the machine started, suspends included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait for `event`, at most `timeout`; return whether it is set."""
        return event.wait(timeout.total_seconds())
