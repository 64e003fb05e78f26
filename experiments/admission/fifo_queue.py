"""A first-in-first-out queue, as a baseline."""

from collections import deque

from oriolepaddle.admission import Waiter

__all__ = ["FifoQueue"]


class FifoQueue:
    """Admits requests in the order of their arrival."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def cost_tokens(self) -> float:
        """The cost of all waiting requests, in tokens."""
        return sum(waiter.cost_tokens for waiter in self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)

    def pop(self) -> Waiter | None:
        """Remove and return the first request, or None."""
        return self._waiters.popleft() if self._waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits; ignore unknown ones."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the newcomer; the queue never evicts waiting requests."""
        return newcomer

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost of all waiting requests, in tokens."""
        return self.cost_tokens
