"""The operator's view of a quarantine entry."""

import enum
from datetime import timedelta

import attrs

from oriolepaddle.quarantine.crash import Crash

__all__ = ["EntryState", "QuarantineEntry"]


class EntryState(enum.StrEnum):
    """The state of a fingerprint."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


@attrs.frozen
class QuarantineEntry:
    """The crashes and the state of a fingerprint.

    Attributes:
        fingerprint: The fingerprint, 16 bytes.
        state: Its state, which decides whether requests are refused.
        crashes: The crashes that still count against it.
        generation: How often an operator has cleared it.
        remaining_lifetime: The time until the entry expires, without further
            changes.
    """

    fingerprint: bytes
    state: EntryState
    crashes: tuple[Crash, ...]
    generation: int
    remaining_lifetime: timedelta
