"""What varies in the order of waiting requests."""

from typing import Protocol

from oriolepaddle.admission.waiter import Waiter

__all__ = ["WaitingQueue"]


class WaitingQueue(Protocol):
    """Waiting requests in the order in which they go on."""

    def __len__(self) -> int: ...

    @property
    def cost_tokens(self) -> float:
        """The cost in tokens of all that wait."""
        ...

    def push(self, waiter: Waiter) -> None:
        """Put in a request."""
        ...

    def pop(self) -> Waiter | None:
        """Take out the request that goes next, or None."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that waits no longer; unknown ones are ignored."""
        ...

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return who has to go when the queue is full, perhaps the newcomer."""
        ...

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens that goes on before a newcomer."""
        ...
