"""The descriptors that a process may hold for connections and their requests."""

import resource
import sys
import threading
from collections.abc import Callable

__all__ = ["REQUEST_DESCRIPTORS", "DescriptorBudget"]

FILES = 200
"""Descriptors of the limit that are meant for files."""
OWN = 40
"""Listeners, gossip, the store and what the libraries open for themselves."""
MAX_RESERVED_FRACTION = 0.6
REQUEST_DESCRIPTORS = 4
"""A request that is sent on: its socket, a duplicate of it and two of the library."""


def _read_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class DescriptorBudget:
    """Counts descriptors of accepted connections and requests; thread-safe.

    Args:
        count_idle: Returns the number of descriptors of kept connections to endpoints.
        free: Closes these connections.
        read_limit: Returns the limit of the process, which may change.

    Attributes:
        refused: How many times descriptors were refused.
    """

    def __init__(
        self,
        count_idle: Callable[[], int] = lambda: 0,
        free: Callable[[], object] = lambda: 0,
        read_limit: Callable[[], int] = _read_limit,
    ) -> None:
        self._count_idle = count_idle
        self._free = free
        self._read_limit = read_limit
        self._lock = threading.Lock()
        self._used = 0
        self.refused = 0

    @property
    def used(self) -> int:
        """The number of descriptors that are held."""
        return self._used

    @property
    def maximum(self) -> int:
        """The number of descriptors that may be held."""
        limit = self._read_limit()
        if limit <= 0:
            # The process has no limit.
            return sys.maxsize
        return limit - min(FILES + OWN, int(MAX_RESERVED_FRACTION * limit))

    def acquire(self, count: int) -> bool:
        """Take descriptors; return whether they were granted."""
        maximum = self.maximum
        if self._used + count + self._count_idle() > maximum:
            self._free()
        with self._lock:
            if self._used + count > maximum:
                self.refused += 1
                return False
            self._used += count
            return True

    def release(self, count: int) -> None:
        """Return descriptors that were taken."""
        with self._lock:
            self._used -= count
