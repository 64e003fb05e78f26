"""The bytes that a process may buffer for all of its requests."""

import enum
import threading
from collections import Counter

__all__ = ["BufferBudget", "HeldKind", "make_budget"]

MEMORY_FRACTION = 1 / 6
"""Fraction of the process's memory limit; the rest holds the modules, the threads and
copies that are made while a body grows."""
DEFAULT_BUDGET_BYTES = 64_000_000
"""The budget of a process whose memory limit is not known."""
BYTES_PER_MB = 1_000_000
HOLDER_FACTOR = 3
"""A holder may have this many times what remains free: one alone three quarters of the
maximum, several each the same part, and there is always room for another one."""

SMALL_FRACTION = 1 / 500
"""Size, as a fraction of the maximum, up to which a header or a body is granted beyond
its holder's share: ordinary callers may share an address with a large group."""


class HeldKind(enum.StrEnum):
    """What bytes are held for."""

    HEADER = "header"
    REQUEST_BODY = "request_body"
    RESPONSE_BODY = "response_body"


class BufferBudget:
    """Counts the bytes that requests hold in memory; thread-safe.

    A body may grow as long as at least its size remains free. Many large bodies
    therefore can't use up what small ones need. All that is held for one client
    address may grow as long as a third of its size remains free, but for small bodies.

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
        self._by_kind: Counter[HeldKind] = Counter()
        self._by_holder: Counter[str] = Counter()
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._used_bytes

    @property
    def largest_holder_bytes(self) -> int:
        """The number of bytes that are held for the client address with most."""
        with self._lock:
            return max(self._by_holder.values(), default=0)

    def count_kind(self, kind: HeldKind) -> int:
        """Return the number of bytes of a kind."""
        return self._by_kind[kind]

    def acquire(
        self,
        count: int,
        held: int = 0,
        kind: HeldKind = HeldKind.RESPONSE_BODY,
        holder: str = "",
    ) -> bool:
        """Take bytes for a body; return whether they were granted.

        Args:
            count: The number of bytes.
            held: The number of bytes that the body holds already.
            kind: What they are held for.
            holder: The client's address; empty if there is none.
        """
        with self._lock:
            free_bytes = self.max_bytes - self._used_bytes - count
            is_small = held + count <= SMALL_FRACTION * self.max_bytes
            holder_bytes = self._by_holder[holder] + count
            is_beyond_share = holder_bytes > HOLDER_FACTOR * free_bytes
            is_beyond_share = is_beyond_share and bool(holder) and not is_small
            if held + count > free_bytes or is_beyond_share:
                self.refused += 1
                self._forget_if_empty(holder)
                return False
            self._used_bytes += count
            self._by_kind[kind] += count
            if holder:
                self._by_holder[holder] += count
            self._forget_if_empty(holder)
            return True

    def release(
        self,
        count: int,
        kind: HeldKind = HeldKind.RESPONSE_BODY,
        holder: str = "",
    ) -> None:
        """Return bytes that were taken for the same kind and holder."""
        with self._lock:
            self._used_bytes -= count
            self._by_kind[kind] -= count
            if holder:
                self._by_holder[holder] -= count
                self._forget_if_empty(holder)

    def _forget_if_empty(self, holder: str) -> None:
        # Addresses would otherwise accumulate.
        if not self._by_holder.get(holder, 1):
            del self._by_holder[holder]


def make_budget(memory_mb: float) -> BufferBudget:
    """Return the budget of a process.

    Args:
        memory_mb: The process's memory limit in megabytes, 0 if it is not known.
    """
    if not memory_mb:
        return BufferBudget(DEFAULT_BUDGET_BYTES)
    return BufferBudget(int(memory_mb * BYTES_PER_MB * MEMORY_FRACTION))
