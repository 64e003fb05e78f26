"""Conflicts between tickets or snapshots."""

import enum

import attrs

__all__ = ["Conflict", "ConflictKind"]


class ConflictKind(enum.StrEnum):
    """The kind of a conflict."""

    SAME_NUMBER = "same_number"
    BELOW_FLOOR = "below_floor"


@attrs.frozen
class Conflict:
    """A conflict that was resolved by rule and that an operator should look into.

    Attributes:
        kind: `SAME_NUMBER` if two different tickets have the same number,
            `BELOW_FLOOR` if a snapshot lacks a change of a ticket up to its floor or
            has an older state of the object.
        number: The number of the ticket.
        subject: The object, or the platform's key, that was written twice.
    """

    kind: ConflictKind
    number: int
    subject: str
