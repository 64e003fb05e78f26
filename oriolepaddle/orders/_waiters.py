"""Waiting of repeats for the first run of an order."""

import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.orders._errors import error_for_repeat, in_progress_error
from oriolepaddle.orders._record import OrderRun
from oriolepaddle.orders.answer import OrderAnswer

__all__ = ["RunWaiters"]


class RunWaiters:
    """Limits how many repeats wait concurrently, and for how long.

    Args:
        clock: The source of time.
        max_waiters: The limit on concurrently waiting repeats.
        max_wait: The longest wait.
    """

    def __init__(self, clock: Clock, max_waiters: int, max_wait: timedelta) -> None:
        self._clock = clock
        self._free_slots = (
            threading.BoundedSemaphore(max_waiters) if max_waiters else None
        )
        self._max_wait = max_wait

    def wait(self, run: OrderRun, timeout: timedelta | None) -> OrderAnswer:
        """Wait for a run and return its answer.

        Raises:
            OrderError: The run has not finished, or its outcome is unknown.
            RefusedError: The run was refused; the order was not run.
        """
        timeout = self._max_wait if timeout is None else timeout
        if not self._wait(run.finished, min(timeout, self._max_wait)):
            raise in_progress_error()
        if run.answer is None:
            raise error_for_repeat(run.error)
        return run.answer

    def _wait(self, finished: threading.Event, timeout: timedelta) -> bool:
        if self._free_slots is None or not self._free_slots.acquire(blocking=False):
            return finished.is_set()
        try:
            return self._clock.wait(finished, timeout)
        finally:
            self._free_slots.release()
