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
        cost_tokens: Its expected cost, in output tokens.
        deadline_s: Monotonic time by which the whole answer must be sent.
        priority: Higher values are admitted first within the organisation.
        entered_s: Monotonic time of its arrival.
        sequence: Its position in the order of arrival.
        decided: Set once it is admitted or refused.
        admitted_s: Monotonic time of its admission, or None.
        refusal: The error if it was refused, or None.
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
        """Sort key within its organisation; the lowest is admitted first."""
        return (-self.priority, self.deadline_s, self.sequence)
