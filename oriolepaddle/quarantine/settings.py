"""Settings of the quarantine."""

from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["QuarantineSettings"]


@attrs.frozen
class QuarantineSettings:
    """Limits of the quarantine.

    Attributes:
        crash_limit: Crashes after which a fingerprint is refused.
        life: How long a crash is held against a fingerprint.
        max_entries: The most fingerprints held.
        spread_time: Within this time a report is taken to have reached every
            peer that can be reached.
        claim_life: How long a peer's claims stand without being renewed.
        claim_renewal: How often claims are renewed.
        tick_interval: The longest time between two ticks of the replicator.
        repair_interval: How often the digest is compared with a random peer's.
        call_timeout: The longest time that a call to a peer may take.
        failure_pause: How long a peer is left alone after a failed call.
    """

    crash_limit: int = 2
    life: timedelta = timedelta(hours=1)
    max_entries: int = 1_024
    spread_time: timedelta = timedelta(milliseconds=400)
    claim_life: timedelta = timedelta(seconds=15)
    claim_renewal: timedelta = timedelta(seconds=5)
    tick_interval: timedelta = timedelta(seconds=1)
    repair_interval: timedelta = timedelta(seconds=15)
    call_timeout: timedelta = timedelta(seconds=2)
    failure_pause: timedelta = timedelta(seconds=1)

    @property
    def claim_min_age(self) -> timedelta:
        """How long a claim must stand before the run may start.

        Two instances that claim at once each hear of the other within one
        spread time after the later claim, so before either's wait is over.
        """
        return 2 * self.spread_time

    @property
    def claim_max_age(self) -> timedelta:
        """How long after it was made a claim allows a start."""
        return 3 * self.spread_time

    def __attrs_post_init__(self) -> None:
        if self.crash_limit < 2:
            raise SettingsError(f"crash_limit {self.crash_limit} is under 2")
        if self.spread_time <= timedelta(0) or self.life <= timedelta(0):
            raise SettingsError("spread_time and life must be longer than nothing")
        if self.claim_renewal >= self.claim_life:
            raise SettingsError("claim_renewal is not shorter than claim_life")
