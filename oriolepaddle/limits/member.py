"""What an instance knows of one other member of its data centre."""

import attrs

from oriolepaddle.limits.claim_epoch import UNKNOWN_LIFE, Life

__all__ = ["Member"]


@attrs.define
class Member:
    """Another instance of the same data centre, as this one accounts for it.

    Attributes:
        known_s: When this instance first heard of that life of the member.
        life: The life that is accounted for.
        reserved: The part of the data centre's share, from 0 to 1, that the
            member may hold at most.
        granted: The part that the member has reserved for this instance.
        vouched_s: When this instance last answered the member's renewal.
        answered_s: When this instance sent the last renewal that the member
            answered, or None before that.
        absent_s: When the first of an unbroken row of lists without the member
            was asked for, or None while it is listed.
        is_warm: Whether the member said that it knows all other members.
        holds_loans: Whether the member holds loans or is asking for some.
        is_draining: Whether the member is about to leave.
        is_known_there: Whether the member accounts for this instance's present
            life, so that it cannot mint for long without being answered.
        received: The sequence number of the last renewal received.
        sent: The sequence number of the last renewal sent.
        tables: Digests of the weight tables that bound the member.
    """

    known_s: float
    life: Life = UNKNOWN_LIFE
    reserved: float = 0.0
    granted: float = 0.0
    vouched_s: float = 0.0
    answered_s: float | None = None
    absent_s: float | None = None
    is_warm: bool = False
    holds_loans: bool = False
    is_draining: bool = False
    is_known_there: bool = False
    received: int = 0
    sent: int = 0
    tables: frozenset[int] = frozenset()
