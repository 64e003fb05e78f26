"""Earliest deadline first: a baseline."""

import bisect

from oriolepaddle.admission import Waiter

__all__ = ["DeadlineQueue"]


class DeadlineQueue:
    """The earliest deadline goes next, whichever organisation it is of."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def cost_tokens(self) -> float:
        """The cost in tokens of all that wait."""
        return sum(waiter.cost_tokens for waiter in self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Put in a request."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.rank)

    def pop(self) -> Waiter | None:
        """Take out the request that goes next, or None."""
        return self._waiters.pop(0) if self._waiters else None

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that waits no longer; unknown ones are ignored."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the request with the latest deadline."""
        return max([*self._waiters[-1:], newcomer], key=lambda item: item.rank)

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens that goes on before a newcomer."""
        return sum(
            waiter.cost_tokens
            for waiter in self._waiters
            if waiter.rank < newcomer.rank
        )
