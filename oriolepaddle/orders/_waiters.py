"""Repeats that wait for an order's first run."""

import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.orders._failures import in_progress, repeat_of
from oriolepaddle.orders._record import OrderRun
from oriolepaddle.orders.answer import OrderAnswer

__all__ = ["RunWaiters"]


class RunWaiters:
    """Bounds how many repeats wait side by side, and for how long.

    Args:
        clock: The source of time.
        max_waiters: Repeats that wait side by side.
        max_wait: The longest wait.
    """

    def __init__(self, clock: Clock, max_waiters: int, max_wait: timedelta) -> None:
        self._clock = clock
        self._free = threading.BoundedSemaphore(max_waiters) if max_waiters else None
        self._max_wait = max_wait

    def wait(self, run: OrderRun, timeout: timedelta | None) -> OrderAnswer:
        """Return what the run answered.

        Raises:
            OrderError: The run goes on, or its outcome is unknown.
            RefusedError: The run was refused; the order was not run.
        """
        timeout = self._max_wait if timeout is None else timeout
        if not self._wait(run.finished, min(timeout, self._max_wait)):
            raise in_progress()
        if run.answer is None:
            raise repeat_of(run.error)
        return run.answer

    def _wait(self, finished: threading.Event, timeout: timedelta) -> bool:
        if self._free is None or not self._free.acquire(blocking=False):
            return finished.is_set()
        try:
            return self._clock.wait(finished, timeout)
        finally:
            self._free.release()
