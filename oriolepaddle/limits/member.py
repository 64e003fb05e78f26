"""State that an instance stores for each other member of its data centre."""

import attrs

from oriolepaddle.limits.claim_epoch import UNKNOWN_EPOCH, ClaimEpoch

__all__ = ["Member"]


@attrs.define
class Member:
    """State of another instance of the same data centre.

    Attributes:
        first_seen_s: Monotonic time when this instance first learned of the epoch.
        epoch: The member's current claim epoch.
        reserved: Upper bound on the member's claim, as a fraction of the data
            centre's share.
        granted: The fraction that the member has reserved for this instance.
        renewal_answered_s: When this instance last answered the member's renewal.
        last_renewed_s: When this instance sent the last renewal that the member
            answered, or None if there was none.
        absent_since_s: Request time of the first in an unbroken sequence of
            lists without the member, or None while it is listed.
        is_warm: Whether the member reported that it knows all other members.
        holds_loans: Whether the member has borrowed share or is requesting some.
        is_draining: Whether the member is draining.
        knows_this_instance: Whether the member accounts for this instance's
            current epoch. If so, its mint lease runs out unless this instance
            answers its renewals.
        received_sequence: Sequence number of the last renewal received.
        sent_sequence: Sequence number of the last renewal sent.
        weight_tables: Digests of the weight tables that the member obeys.
    """

    first_seen_s: float
    epoch: ClaimEpoch = UNKNOWN_EPOCH
    reserved: float = 0.0
    granted: float = 0.0
    renewal_answered_s: float = 0.0
    last_renewed_s: float | None = None
    absent_since_s: float | None = None
    is_warm: bool = False
    holds_loans: bool = False
    is_draining: bool = False
    knows_this_instance: bool = False
    received_sequence: int = 0
    sent_sequence: int = 0
    weight_tables: frozenset[int] = frozenset()
