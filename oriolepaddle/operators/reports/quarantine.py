"""The report `QuarantineReport`."""

import attrs

__all__ = ["QuarantineReport"]


@attrs.frozen
class QuarantineReport:
    """A request that is suspected of crashing endpoints."""

    fingerprint: str
    state: str
    crashes: int
    remaining_s: float
