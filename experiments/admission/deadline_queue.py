"""An earliest-deadline-first queue, as a baseline."""

import bisect

from oriolepaddle.admission import Waiter

__all__ = ["DeadlineQueue"]


class DeadlineQueue:
    """Admits the request with the earliest deadline, regardless of organisations."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def cost_tokens(self) -> float:
        """The cost of all waiting requests, in tokens."""
        return sum(waiter.cost_tokens for waiter in self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.rank)

    def pop(self) -> Waiter | None:
        """Remove and return the next request, or None."""
        return self._waiters.pop(0) if self._waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits; ignore unknown ones."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the request with the latest deadline, to evict or refuse."""
        return max([*self._waiters[-1:], newcomer], key=lambda item: item.rank)

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost of all requests ahead of a newcomer, in tokens."""
        return sum(
            waiter.cost_tokens
            for waiter in self._waiters
            if waiter.rank < newcomer.rank
        )
