"""Claims: runs of suspects that are about to start or in flight."""

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
        endpoint: Where it runs or is to run.
        is_running: Whether it has started.
    """

    instance: str
    fingerprint: bytes
    endpoint: str
    is_running: bool

    def precedes(self, instance: str) -> bool:
        """Return whether a claim of `instance` that has not started yields."""
        return self.is_running or self.instance < instance


@attrs.define
class _HeldSet:
    incarnation: int
    sequence: int
    claims: tuple[Claim, ...]
    expires_at_s: float
    version: int


class ClaimTable:
    """The claims of each instance; a later set of an instance replaces.

    Not thread-safe: the quarantine locks.

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
        self._life_s = settings.claim_life.total_seconds()
        self._renewal_s = settings.claim_renewal.total_seconds()
        self._identity = identity
        self._version = version
        self._sets: dict[str, _HeldSet] = {}

    def set_own(self, claims: tuple[Claim, ...]) -> None:
        """Publish this instance's claims if they changed or must be renewed."""
        now_s = self._clock.monotonic_s()
        held = self._sets.get(self._identity.instance)
        if held is None and not claims:
            return
        if held is not None and held.claims == claims:
            is_fresh = held.expires_at_s - now_s > self._life_s - self._renewal_s
            if is_fresh or not claims:
                return
        sequence = held.sequence + 1 if held else 1
        self._sets[self._identity.instance] = _HeldSet(
            self._identity.incarnation,
            sequence,
            claims,
            now_s + self._life_s,
            self._version.increase(),
        )

    def merge(self, told: ClaimSet) -> None:
        """Take in the claims of another instance, unless a later set is held."""
        if told.instance == self._identity.instance or told.remaining_life_ms <= 0:
            return
        held = self._sets.get(told.instance)
        order = (told.incarnation, told.sequence)
        if held is not None and order <= (held.incarnation, held.sequence):
            return
        if held is None and len(self._sets) >= MAX_INSTANCES:
            self._drop_expired()
        life_s = min(told.remaining_life_ms / MS_PER_S, self._life_s)
        self._sets[told.instance] = _HeldSet(
            told.incarnation,
            told.sequence,
            tuple(_make_claim(told.instance, claim) for claim in told.claims),
            self._clock.monotonic_s() + life_s,
            self._version.increase(),
        )

    def find_peers(self) -> list[Claim]:
        """Return the claims of all peers that still stand."""
        now_s = self._clock.monotonic_s()
        return [
            claim
            for instance, held in self._sets.items()
            if instance != self._identity.instance and held.expires_at_s > now_s
            for claim in held.claims
        ]

    def export(self, since: int) -> list[ClaimSet]:
        """Return the sets that changed after version `since`."""
        now_s = self._clock.monotonic_s()
        return [
            ClaimSet(
                instance=instance,
                incarnation=held.incarnation,
                sequence=held.sequence,
                claims=[_make_record(claim) for claim in held.claims],
                remaining_life_ms=int((held.expires_at_s - now_s) * MS_PER_S),
            )
            for instance, held in self._sets.items()
            if held.version > since and held.expires_at_s > now_s
        ]

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        own = self._identity.instance
        self._sets = {
            instance: held
            for instance, held in self._sets.items()
            if held.expires_at_s > now_s or instance == own
        }


def _make_claim(instance: str, record: ClaimRecord) -> Claim:
    return Claim(instance, record.fingerprint, record.endpoint, record.is_running)


def _make_record(claim: Claim) -> ClaimRecord:
    return ClaimRecord(
        fingerprint=claim.fingerprint,
        endpoint=claim.endpoint,
        is_running=claim.is_running,
    )
