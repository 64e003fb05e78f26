"""A model of a plain endpoint: slots, a queue and a pace that varies."""

from collections import deque
from collections.abc import Callable

import attrs

from experiments.placement.pace import VaryingPace
from experiments.simulation import EventLoop
from oriolepaddle.signals import ReportedLoad

__all__ = ["SlotEndpoint", "SlotRun"]


@attrs.define(eq=False)
class SlotRun:
    """A request at a plain endpoint.

    Attributes:
        work_s: Seconds in the slot that are left, at the usual pace.
        on_end: Called at the end with the load that the endpoint reports.
    """

    work_s: float
    on_end: Callable[[ReportedLoad], None]


class SlotEndpoint:
    """Runs as many requests at once as it has slots; the others wait in order.

    Args:
        loop: The event loop.
        slots: Number of slots.
        pace: Its pace.
    """

    def __init__(self, loop: EventLoop, slots: int, pace: VaryingPace) -> None:
        self._loop = loop
        self._slots = slots
        self._pace = pace
        self._factor = pace.factor
        self._updated_s = loop.monotonic_s()
        self._running: list[SlotRun] = []
        self._waiting: deque[SlotRun] = deque()
        self._version = 0
        pace.on_change = self._update

    def submit(self, run: SlotRun) -> None:
        """Run a request, or let it wait for a slot."""
        self._waiting.append(run)
        self._update()

    def _update(self) -> None:
        now_s = self._loop.monotonic_s()
        done_s = (now_s - self._updated_s) / self._factor
        self._updated_s = now_s
        self._factor = self._pace.factor
        for run in self._running:
            run.work_s -= done_s
        ended = [run for run in self._running if run.work_s <= 1e-9]
        self._running = [run for run in self._running if run.work_s > 1e-9]
        while self._waiting and len(self._running) < self._slots:
            self._running.append(self._waiting.popleft())
        self._version += 1
        if self._running:
            next_s = min(run.work_s for run in self._running) * self._factor
            self._loop.schedule(next_s, self._update_if_current, self._version)
        for run in ended:
            load = ReportedLoad(
                len(self._running), len(self._waiting), self._slots, self._pace.read()
            )
            run.on_end(load)

    def _update_if_current(self, version: int) -> None:
        if version == self._version:
            self._update()
