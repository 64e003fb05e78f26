"""Interface of the queues that order waiting requests."""

from typing import Protocol

from oriolepaddle.admission.waiter import Waiter

__all__ = ["WaitingQueue"]


class WaitingQueue(Protocol):
    """Waiting requests in the order of admission."""

    def __len__(self) -> int: ...

    @property
    def cost_tokens(self) -> float:
        """Total cost in tokens of the waiting requests."""
        ...

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        ...

    def pop(self) -> Waiter | None:
        """Remove and return the next request, or None if no request waits."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits; unknown ones are ignored."""
        ...

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the request to drop from a full queue, perhaps the newcomer."""
        ...

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens expected to be admitted before a newcomer."""
        ...
