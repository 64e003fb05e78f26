"""A discrete-event loop with a simulated clock."""

import heapq
import threading
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

__all__ = ["EventLoop"]


class EventLoop:
    """Runs callbacks in the order of their times and implements `Clock`.

    Everything runs on one thread, so `wait` never blocks: it returns whether
    the event is set.
    """

    START = datetime(2026, 1, 1, tzinfo=UTC)

    def __init__(self) -> None:
        self._now_s = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable, tuple]] = []

    def now(self) -> datetime:
        """Return the simulated time in UTC."""
        return self.START + timedelta(seconds=self._now_s)

    def monotonic_s(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def wait(self, event: threading.Event, timeout: timedelta) -> bool:
        """Return whether the event is set."""
        return event.is_set()

    def schedule(self, delay_s: float, callback: Callable, *arguments: Any) -> None:
        """Run a callback after `delay_s` seconds."""
        self._sequence += 1
        run_at_s = self._now_s + delay_s
        heapq.heappush(self._events, (run_at_s, self._sequence, callback, arguments))

    def run(self, until_s: float) -> None:
        """Run all events up to a time and advance the clock to it."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self._now_s = until_s
