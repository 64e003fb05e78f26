"""Events in the order of their times, over a manual clock."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import ManualClock

__all__ = ["EventLoop"]


class EventLoop:
    """Calls functions at their times and moves the clock along.

    Attributes:
        clock: The clock that the decision classes read.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    @property
    def now_s(self) -> float:
        """The present time, in seconds."""
        return self.clock.monotonic_s()

    def schedule(self, delay_s: float, function: Callable, *arguments: object) -> None:
        """Call `function` after `delay_s` seconds."""
        at_s = self.now_s + max(0.0, delay_s)
        event = (at_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Call everything that is due by `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(timedelta(seconds=max(0.0, at_s - self.now_s)))
            function(*arguments)
