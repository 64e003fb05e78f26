"""Claims of runs of suspects that are about to start or in flight."""

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.quarantine.ttypes import ClaimRecord, ClaimSet
from oriolepaddle.quarantine._version import Version
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["Claim", "ClaimTable"]

MAX_INSTANCES = 1_024
MS_PER_S = 1000


@attrs.frozen
class Claim:
    """An instance's claim to run a suspect at an endpoint.

    Attributes:
        instance: The claiming instance.
        fingerprint: The suspect.
        endpoint: The endpoint at which it runs or is to run.
        is_running: Whether it has started.
    """

    instance: str
    fingerprint: bytes
    endpoint: str
    is_running: bool

    def precedes(self, instance: str) -> bool:
        """Return whether it has priority over a pending claim of `instance`."""
        return self.is_running or self.instance < instance


@attrs.define
class _StoredClaims:
    incarnation: int
    sequence: int
    claims: tuple[Claim, ...]
    expires_at_s: float
    version: int


class ClaimTable:
    """The claims of each instance; a newer set of claims replaces an older one.

    Not thread-safe: guarded by the quarantine's lock.

    Args:
        clock: The source of time.
        settings: The limits.
        identity: This instance.
        version: Counts the changes.
    """

    def __init__(
        self,
        clock: Clock,
        settings: QuarantineSettings,
        identity: PeerIdentity,
        version: Version,
    ) -> None:
        self._clock = clock
        self._lifetime_s = settings.claim_life.total_seconds()
        self._renewal_s = settings.claim_renewal.total_seconds()
        self._identity = identity
        self._version = version
        self._sets: dict[str, _StoredClaims] = {}

    def set_own(self, claims: tuple[Claim, ...]) -> None:
        """Publish this instance's claims if they changed or are due for renewal."""
        now_s = self._clock.monotonic_s()
        stored = self._sets.get(self._identity.instance)
        if stored is None and not claims:
            return
        if stored is not None and stored.claims == claims:
            is_fresh = stored.expires_at_s - now_s > self._lifetime_s - self._renewal_s
            if is_fresh or not claims:
                return
        sequence = stored.sequence + 1 if stored else 1
        self._sets[self._identity.instance] = _StoredClaims(
            self._identity.incarnation,
            sequence,
            claims,
            now_s + self._lifetime_s,
            self._version.increase(),
        )

    def merge(self, received: ClaimSet) -> None:
        """Merge the claims of another instance, unless a newer set is stored."""
        if (
            received.instance == self._identity.instance
            or received.remaining_life_ms <= 0
        ):
            return
        stored = self._sets.get(received.instance)
        order = (received.incarnation, received.sequence)
        if stored is not None and order <= (stored.incarnation, stored.sequence):
            return
        if stored is None and len(self._sets) >= MAX_INSTANCES:
            self._drop_expired()
        lifetime_s = min(received.remaining_life_ms / MS_PER_S, self._lifetime_s)
        self._sets[received.instance] = _StoredClaims(
            received.incarnation,
            received.sequence,
            tuple(_make_claim(received.instance, claim) for claim in received.claims),
            self._clock.monotonic_s() + lifetime_s,
            self._version.increase(),
        )

    def find_peer_claims(self) -> list[Claim]:
        """Return the valid claims of all peers."""
        now_s = self._clock.monotonic_s()
        return [
            claim
            for instance, stored in self._sets.items()
            if instance != self._identity.instance and stored.expires_at_s > now_s
            for claim in stored.claims
        ]

    def export(self, since: int) -> list[ClaimSet]:
        """Return the sets that changed after version `since`."""
        now_s = self._clock.monotonic_s()
        return [
            ClaimSet(
                instance=instance,
                incarnation=stored.incarnation,
                sequence=stored.sequence,
                claims=[_make_record(claim) for claim in stored.claims],
                remaining_life_ms=int((stored.expires_at_s - now_s) * MS_PER_S),
            )
            for instance, stored in self._sets.items()
            if stored.version > since and stored.expires_at_s > now_s
        ]

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        own = self._identity.instance
        self._sets = {
            instance: stored
            for instance, stored in self._sets.items()
            if stored.expires_at_s > now_s or instance == own
        }


def _make_claim(instance: str, record: ClaimRecord) -> Claim:
    return Claim(instance, record.fingerprint, record.endpoint, record.is_running)


def _make_record(claim: Claim) -> ClaimRecord:
    return ClaimRecord(
        fingerprint=claim.fingerprint,
        endpoint=claim.endpoint,
        is_running=claim.is_running,
    )
