"""When a suspect may run, and where."""

from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine._claims import Claim, ClaimTable
from oriolepaddle.quarantine._entries import EntryTable
from oriolepaddle.quarantine._runs import RunTable
from oriolepaddle.quarantine.advice import StartAction, StartAdvice
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["TrialPlanner"]


@attrs.frozen
class _Pending:
    endpoint: str
    claimed_at_s: float


class TrialPlanner:
    """Lets a suspect run at one instance at a time, apart from other suspects.

    A run is claimed first, and starts when the claim has stood long enough
    that every peer within reach has either heard of it or told of its own.

    Not thread-safe: the quarantine locks.

    Args:
        clock: The source of time.
        settings: The limits.
        identity: This instance.
        entries: Tells who is a suspect.
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
        self._pending: dict[bytes, _Pending] = {}

    def advise_innocent(self, fingerprint: bytes, endpoint: str) -> StartAdvice:
        """Return the advice for a request that is no suspect."""
        if len(self._entries) and self._has_other_suspect(fingerprint, endpoint):
            return StartAdvice(StartAction.AVOID)
        return StartAdvice(StartAction.START)

    def advise_suspect(
        self, fingerprint: bytes, endpoint: str, is_only_candidate: bool
    ) -> StartAdvice:
        """Return the advice for a suspect, and claim the run if it may be."""
        self._drop_stale()
        pending = self._pending.get(fingerprint)
        if self._is_running_elsewhere(fingerprint, pending is not None):
            self._pending.pop(fingerprint, None)
            return StartAdvice(StartAction.WAIT, self._settings.spread_time)
        if pending is not None and pending.endpoint != endpoint:
            return self._advise_other(fingerprint, pending)
        crashed = {crash.endpoint for crash in self._entries.find_active(fingerprint)}
        if endpoint in crashed and not is_only_candidate:
            return StartAdvice(StartAction.OTHER_ENDPOINT)
        if self._has_other_suspect(fingerprint, endpoint, pending is not None):
            self._pending.pop(fingerprint, None)
            return StartAdvice(StartAction.OTHER_ENDPOINT, self._settings.spread_time)
        return self._advise_by_age(fingerprint, endpoint, pending)

    def has_standing_claim(self, fingerprint: bytes, endpoint: str) -> bool:
        """Return whether the run may start at once."""
        if fingerprint not in self._pending:
            return False
        advice = self.advise_suspect(fingerprint, endpoint, is_only_candidate=True)
        return advice.action is StartAction.START

    def drop(self, fingerprint: bytes) -> None:
        """Drop the claim to start a run."""
        self._pending.pop(fingerprint, None)

    def publish(self) -> None:
        """Bring this instance's published claims up to date."""
        self._drop_stale()
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
        self, fingerprint: bytes, endpoint: str, pending: _Pending | None
    ) -> StartAdvice:
        now_s = self._clock.monotonic_s()
        wait = self._settings.claim_min_age
        if pending is None:
            self._pending[fingerprint] = _Pending(endpoint, now_s)
            return StartAdvice(StartAction.WAIT, wait, endpoint)
        left_s = pending.claimed_at_s + wait.total_seconds() - now_s
        if left_s > 0:
            # Rounded up: a delay of zero would make the caller ask without end.
            delay = timedelta(seconds=left_s) + timedelta.resolution
            return StartAdvice(StartAction.WAIT, delay, endpoint)
        return StartAdvice(StartAction.START)

    def _advise_other(self, fingerprint: bytes, pending: _Pending) -> StartAdvice:
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
            for claim in self._claims.find_peers()
        )

    def _has_other_suspect(
        self, fingerprint: bytes, endpoint: str, is_claimed: bool = False
    ) -> bool:
        """Return whether another suspect runs, or is first to run, there."""
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
            for claim in self._claims.find_peers()
        )

    def _drop_stale(self) -> None:
        """Drop claims that were not used in time, such as after a pause."""
        end_s = self._settings.claim_max_age.total_seconds()
        now_s = self._clock.monotonic_s()
        for fingerprint, pending in list(self._pending.items()):
            if now_s >= pending.claimed_at_s + end_s:
                del self._pending[fingerprint]
