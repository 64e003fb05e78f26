"""A request that waits for admission."""

import threading

import attrs

from oriolepaddle.errors import RefusedError

__all__ = ["Waiter"]


@attrs.define(eq=False)
class Waiter:
    """A request in the queue.

    Attributes:
        organisation: Its organisation's id.
        weight: The organisation's weight.
        cost_tokens: What it will use, in tokens of output.
        deadline_s: Monotonic time by which the whole answer must be sent.
        priority: Within its organisation a higher one goes first.
        entered_s: Monotonic time at which it came in.
        sequence: The order in which requests came in.
        decided: Set when it is admitted or refused.
        admitted_s: When it was admitted, or None.
        refusal: Why it was refused, or None.
    """

    organisation: str
    weight: float
    cost_tokens: float
    deadline_s: float
    priority: int
    entered_s: float
    sequence: int
    decided: threading.Event = attrs.field(factory=threading.Event)
    admitted_s: float | None = None
    refusal: RefusedError | None = None

    @property
    def rank(self) -> tuple[int, float, int]:
        """Its place inside its organisation; the lowest goes first."""
        return (-self.priority, self.deadline_s, self.sequence)
