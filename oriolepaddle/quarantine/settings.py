"""Settings of the quarantine."""

from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["QuarantineSettings"]


@attrs.frozen
class QuarantineSettings:
    """Limits and intervals of the quarantine.

    Attributes:
        crash_limit: The number of crashes after which a fingerprint is refused.
        life: How long a crash counts against a fingerprint.
        max_entries: The limit on stored fingerprints.
        spread_time: The assumed time in which a report gets to every reachable
            peer.
        claim_life: How long a peer's claims remain valid without renewal.
        claim_renewal: How often claims are renewed.
        tick_interval: The longest time between two ticks of the replicator.
        repair_interval: How often the digest is compared with a random peer's.
        call_timeout: The timeout of a call to a peer.
        failure_pause: The pause before the next report to a peer after a failure.
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
        """The age of a claim from which the run may start.

        Two instances that claim concurrently receive each other's claim within
        one spread time of the later one, which is before either may start.
        """
        return 2 * self.spread_time

    @property
    def claim_max_age(self) -> timedelta:
        """The age of a claim from which it no longer allows a start."""
        return 3 * self.spread_time

    def __attrs_post_init__(self) -> None:
        if self.crash_limit < 2:
            raise SettingsError(
                f"crash_limit must be at least 2, not {self.crash_limit}"
            )
        if self.spread_time <= timedelta(0) or self.life <= timedelta(0):
            raise SettingsError("spread_time and life must be positive")
        if self.claim_renewal >= self.claim_life:
            raise SettingsError("claim_renewal must be shorter than claim_life")
