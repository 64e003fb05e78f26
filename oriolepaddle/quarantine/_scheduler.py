"""Scheduling of the runs of suspects."""

from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine._claims import Claim, ClaimTable
from oriolepaddle.quarantine._entries import EntryTable
from oriolepaddle.quarantine._runs import RunTable
from oriolepaddle.quarantine.advice import StartAction, StartAdvice
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["SuspectScheduler"]


@attrs.frozen
class _PendingClaim:
    endpoint: str
    claimed_at_s: float


class SuspectScheduler:
    """Lets only one instance at a time run a suspect, apart from other suspects.

    A run is claimed first. It starts when the claim is old enough that every
    reachable peer has either received it or sent a claim of its own.

    Not thread-safe: guarded by the quarantine's lock.

    Args:
        clock: The source of time.
        settings: The limits.
        identity: This instance.
        entries: The entries, which determine the suspects.
        claims: The claims of all instances.
        runs: The runs in flight at this instance.
    """

    def __init__(
        self,
        clock: Clock,
        settings: QuarantineSettings,
        identity: PeerIdentity,
        entries: EntryTable,
        claims: ClaimTable,
        runs: RunTable,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._instance = identity.instance
        self._entries = entries
        self._claims = claims
        self._runs = runs
        self._pending: dict[bytes, _PendingClaim] = {}

    def advise_unsuspected(self, fingerprint: bytes, endpoint: str) -> StartAdvice:
        """Return the advice for a request that is not a suspect."""
        if len(self._entries) and self._has_other_suspect(fingerprint, endpoint):
            return StartAdvice(StartAction.AVOID)
        return StartAdvice(StartAction.START)

    def advise_suspect(
        self, fingerprint: bytes, endpoint: str, is_only_candidate: bool
    ) -> StartAdvice:
        """Return the advice for a suspect, and claim the run if possible."""
        self._drop_expired()
        pending = self._pending.get(fingerprint)
        if self._is_running_elsewhere(fingerprint, pending is not None):
            self._pending.pop(fingerprint, None)
            return StartAdvice(StartAction.WAIT, self._settings.spread_time)
        if pending is not None and pending.endpoint != endpoint:
            return self._advise_other_endpoint(fingerprint, pending)
        crashed_endpoints = {
            crash.endpoint for crash in self._entries.find_active(fingerprint)
        }
        if endpoint in crashed_endpoints and not is_only_candidate:
            return StartAdvice(StartAction.OTHER_ENDPOINT)
        if self._has_other_suspect(fingerprint, endpoint, pending is not None):
            self._pending.pop(fingerprint, None)
            return StartAdvice(StartAction.OTHER_ENDPOINT, self._settings.spread_time)
        return self._advise_by_age(fingerprint, endpoint, pending)

    def may_start_claimed(self, fingerprint: bytes, endpoint: str) -> bool:
        """Return whether a claim allows the run to start now."""
        if fingerprint not in self._pending:
            return False
        advice = self.advise_suspect(fingerprint, endpoint, is_only_candidate=True)
        return advice.action is StartAction.START

    def drop(self, fingerprint: bytes) -> None:
        """Drop the claim of a run that has not started."""
        self._pending.pop(fingerprint, None)

    def publish(self) -> None:
        """Update the published claims of this instance."""
        self._drop_expired()
        claims = [
            Claim(self._instance, fingerprint, pending.endpoint, is_running=False)
            for fingerprint, pending in self._pending.items()
        ]
        for fingerprint in self._entries.fingerprints() & self._runs.fingerprints():
            if self._entries.find_active(fingerprint):
                claims += [
                    Claim(self._instance, fingerprint, run.endpoint, is_running=True)
                    for run in self._runs.find_runs(fingerprint)
                ]
        self._claims.set_own(tuple(sorted(claims, key=lambda each: each.fingerprint)))

    def _advise_by_age(
        self, fingerprint: bytes, endpoint: str, pending: _PendingClaim | None
    ) -> StartAdvice:
        now_s = self._clock.monotonic_s()
        min_age = self._settings.claim_min_age
        if pending is None:
            self._pending[fingerprint] = _PendingClaim(endpoint, now_s)
            return StartAdvice(StartAction.WAIT, min_age, endpoint)
        remaining_s = pending.claimed_at_s + min_age.total_seconds() - now_s
        if remaining_s > 0:
            # Rounded up, as a delay of zero would make the caller retry in a busy loop.
            delay = timedelta(seconds=remaining_s) + timedelta.resolution
            return StartAdvice(StartAction.WAIT, delay, endpoint)
        return StartAdvice(StartAction.START)

    def _advise_other_endpoint(
        self, fingerprint: bytes, pending: _PendingClaim
    ) -> StartAdvice:
        if self._has_other_suspect(fingerprint, pending.endpoint, True):
            del self._pending[fingerprint]
            return StartAdvice(StartAction.WAIT, self._settings.spread_time)
        return StartAdvice(StartAction.OTHER_ENDPOINT, endpoint=pending.endpoint)

    def _is_running_elsewhere(self, fingerprint: bytes, is_claimed: bool) -> bool:
        if self._runs.find_runs(fingerprint):
            return True
        return any(
            claim.fingerprint == fingerprint
            and (not is_claimed or claim.precedes(self._instance))
            for claim in self._claims.find_peer_claims()
        )

    def _has_other_suspect(
        self, fingerprint: bytes, endpoint: str, is_claimed: bool = False
    ) -> bool:
        """Return whether another suspect runs at `endpoint`, or has priority."""
        for other, pending in self._pending.items():
            if other != fingerprint and pending.endpoint == endpoint:
                return True
        for run in self._runs.find_runs_at(endpoint):
            if run.fingerprint != fingerprint and self._entries.find_active(
                run.fingerprint
            ):
                return True
        return any(
            claim.endpoint == endpoint
            and claim.fingerprint != fingerprint
            and (not is_claimed or claim.precedes(self._instance))
            for claim in self._claims.find_peer_claims()
        )

    def _drop_expired(self) -> None:
        """Drop claims that were not used in time, e.g. during a process pause."""
        max_age_s = self._settings.claim_max_age.total_seconds()
        now_s = self._clock.monotonic_s()
        for fingerprint, pending in list(self._pending.items()):
            if now_s >= pending.claimed_at_s + max_age_s:
                del self._pending[fingerprint]
