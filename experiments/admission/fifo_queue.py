"""First in, first out: a baseline."""

from collections import deque

from oriolepaddle.admission import Waiter

__all__ = ["FifoQueue"]


class FifoQueue:
    """The request that came first goes next."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def cost_tokens(self) -> float:
        """The cost in tokens of all that wait."""
        return sum(waiter.cost_tokens for waiter in self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Put in a request."""
        self._waiters.append(waiter)

    def pop(self) -> Waiter | None:
        """Take out the first request, or None."""
        return self._waiters.popleft() if self._waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that waits no longer; unknown ones are ignored."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the newcomer."""
        return newcomer

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens of all that wait."""
        return self.cost_tokens
