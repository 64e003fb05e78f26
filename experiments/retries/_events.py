"""A discrete-event loop over a manual clock."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import ManualClock

__all__ = ["EventLoop"]


class EventLoop:
    """Calls functions in the order of their times and advances the clock.

    Attributes:
        clock: The clock that the decision classes read.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()

    @property
    def now_s(self) -> float:
        """The current time, in seconds."""
        return self.clock.monotonic_s()

    def schedule(self, delay_s: float, function: Callable, *arguments: object) -> None:
        """Call `function` after `delay_s` seconds."""
        at_s = self.now_s + max(0.0, delay_s)
        event = (at_s, next(self._sequence), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run all events up to `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(timedelta(seconds=max(0.0, at_s - self.now_s)))
            function(*arguments)
