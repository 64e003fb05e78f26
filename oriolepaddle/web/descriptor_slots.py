"""The descriptors of the connections and requests of one listener."""

import contextlib
import threading
from collections.abc import Iterator
from datetime import timedelta

from oriolepaddle.buffers import DescriptorBudget
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.web.connection_set import ConnectionSet

__all__ = ["DescriptorSlots"]

SHED_COUNT = 4
"""Connections that are closed for one that finds no descriptors."""
ATTEMPTS = 4
PAUSE = timedelta(milliseconds=10)
RETRY_AFTER = timedelta(seconds=1)


class DescriptorSlots:
    """Takes descriptors from the process's budget, closing connections if need be.

    Args:
        clock: The clock of the waits.
        connections: The connections of the listener.
        budget: The budget, or None for no bound.
        request_count: The number of descriptors that a request takes.
    """

    def __init__(
        self,
        clock: Clock,
        connections: ConnectionSet,
        budget: DescriptorBudget | None,
        request_count: int,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._budget = budget
        self._request_count = request_count

    def acquire(self, count: int = 1) -> bool:
        """Take descriptors; return whether they were granted."""
        if self._budget is None or self._budget.acquire(count):
            return True
        for _ in range(ATTEMPTS):
            if not self._connections.shed(SHED_COUNT):
                return False
            # The threads of the closed connections release their descriptors now.
            self._clock.wait(threading.Event(), PAUSE)
            if self._budget.acquire(count):
                return True
        return False

    def release(self, count: int = 1) -> None:
        """Return descriptors."""
        if self._budget is not None:
            self._budget.release(count)

    @contextlib.contextmanager
    def hold_request(self) -> Iterator[None]:
        """Hold the descriptors of a request for the duration of the context.

        Raises:
            RefusedError: There are none, even after closing other connections.
        """
        if not self.acquire(self._request_count):
            raise RefusedError(
                "no descriptors are left for the request",
                code=ErrorCode.OVERLOADED,
                retry_after=RETRY_AFTER,
            )
        try:
            yield
        finally:
            self.release(self._request_count)
