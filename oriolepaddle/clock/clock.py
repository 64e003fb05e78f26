"""The interface through which time is read."""

import threading
from datetime import datetime, timedelta
from typing import Protocol

__all__ = ["Clock"]


class Clock(Protocol):
    """A source of time, passed in so that tests can control it."""

    def now(self) -> datetime:
        """Return the wall clock's time in UTC, for logs and answers only."""
        ...

    def monotonic_s(self) -> float:
        """Return monotonic seconds, which include the time in suspend."""
        ...

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Wait for `event`, at most `timeout`; return whether it is set."""
        ...
