"""The bytes that a process may buffer for all of its requests."""

import threading

__all__ = ["BufferBudget", "make_budget"]

MEMORY_FRACTION = 1 / 6
"""Fraction of the process's memory limit; the rest holds the modules, the threads and
copies that are made while a body grows."""
DEFAULT_BUDGET_BYTES = 64_000_000
"""The budget of a process whose memory limit is not known."""
BYTES_PER_MB = 1_000_000


class BufferBudget:
    """Counts the bytes that requests hold in memory; thread-safe.

    A body may grow as long as at least its size remains free. Many large bodies
    therefore can't use up what small ones need.

    Args:
        max_bytes: The maximum for all requests together.

    Attributes:
        max_bytes: The maximum for all requests together.
        refused: How many times bytes were refused.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.refused = 0
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._used_bytes

    def acquire(self, count: int, held: int = 0) -> bool:
        """Take bytes for a body; return whether they were granted.

        Args:
            count: The number of bytes.
            held: The number of bytes that the body holds already.
        """
        with self._lock:
            free_bytes = self.max_bytes - self._used_bytes - count
            if held + count > free_bytes:
                self.refused += 1
                return False
            self._used_bytes += count
            return True

    def release(self, count: int) -> None:
        """Return bytes that were taken."""
        with self._lock:
            self._used_bytes -= count


def make_budget(memory_mb: float) -> BufferBudget:
    """Return the budget of a process.

    Args:
        memory_mb: The process's memory limit in megabytes, 0 if it is not known.
    """
    if not memory_mb:
        return BufferBudget(DEFAULT_BUDGET_BYTES)
    return BufferBudget(int(memory_mb * BYTES_PER_MB * MEMORY_FRACTION))
