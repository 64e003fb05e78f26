"""An entry of the quarantine as operators see it."""

import enum
from datetime import timedelta

import attrs

from oriolepaddle.quarantine.crash import Crash

__all__ = ["EntryState", "QuarantineEntry"]


class EntryState(enum.StrEnum):
    """What an entry means for requests with its fingerprint."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


@attrs.frozen
class QuarantineEntry:
    """What the quarantine holds against a fingerprint.

    Attributes:
        fingerprint: The fingerprint, 16 bytes.
        state: What it means for requests.
        crashes: The crashes still held against it.
        generation: How often an operator has cleared it.
        remaining_lifetime: How long the entry is held if nothing else happens.
    """

    fingerprint: bytes
    state: EntryState
    crashes: tuple[Crash, ...]
    generation: int
    remaining_lifetime: timedelta
