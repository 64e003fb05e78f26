"""Tickets that contradict each other."""

import enum

import attrs

__all__ = ["Conflict", "ConflictKind"]


class ConflictKind(enum.StrEnum):
    """How two sources contradict each other."""

    SAME_NUMBER = "same_number"
    BELOW_FLOOR = "below_floor"


@attrs.frozen
class Conflict:
    """A contradiction that was settled by rule and needs an operator's look.

    Attributes:
        kind: `SAME_NUMBER` if two tickets carry one number, `BELOW_FLOOR` if
            a snapshot lacks or has older what a ticket up to its floor wrote.
        number: The number of the ticket.
        subject: The object or the platform's key that was written twice.
    """

    kind: ConflictKind
    number: int
    subject: str
