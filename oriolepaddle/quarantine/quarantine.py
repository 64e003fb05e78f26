"""The quarantine of one instance."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.quarantine.ttypes import Report
from oriolepaddle.quarantine._claims import ClaimTable
from oriolepaddle.quarantine._crashes import CrashIdentifier
from oriolepaddle.quarantine._entries import EntryTable
from oriolepaddle.quarantine._runs import RunTable
from oriolepaddle.quarantine._scheduler import SuspectScheduler
from oriolepaddle.quarantine._stored import StoredEntry
from oriolepaddle.quarantine._version import Version
from oriolepaddle.quarantine.advice import StartAdvice
from oriolepaddle.quarantine.entry import EntryState, QuarantineEntry
from oriolepaddle.quarantine.evidence import CrashEvidence
from oriolepaddle.quarantine.run import Run
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["Quarantine"]


class Quarantine:
    """Detects and refuses requests that crash every endpoint that runs them.

    A fingerprint that is in flight at a crash becomes a suspect. Only one
    instance at a time runs a suspect, at an endpoint that no other suspect uses
    and that has not crashed while running it, unless it is the only candidate. A
    complete answer dismisses the crashes of a suspect. A suspect is quarantined
    after `crash_limit` crashes that no other suspect explains; the same crashes then
    no longer count against the other fingerprints. Thread-safe.

    Args:
        clock: The source of time.
        settings: The limits.
        identity: This instance.

    Attributes:
        changed: An event that is set when there are changes to report to peers;
            the replicator clears it.
    """

    def __init__(
        self, clock: Clock, settings: QuarantineSettings, identity: PeerIdentity
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._lock = threading.Lock()
        self._version = Version()
        self._runs = RunTable()
        self._entries = EntryTable(clock, settings, self._version)
        self._crashes = CrashIdentifier(identity)
        self._claims = ClaimTable(clock, settings, identity, self._version)
        self._scheduler = SuspectScheduler(
            clock, settings, identity, self._entries, self._claims, self._runs
        )
        self.changed = threading.Event()

    def check(self, fingerprint: bytes) -> None:
        """Refuse a quarantined request.

        Raises:
            RefusedError: The request is quarantined and was not run.
        """
        with self._lock:
            self._check(fingerprint)

    def has_active_crashes(self, fingerprint: bytes) -> bool:
        """Return whether a fingerprint has active crashes, quarantined or not.

        Whoever orders the candidates may put those first whose crash costs least.
        """
        with self._lock:
            return bool(self._entries.find_active(fingerprint))

    def advise_start(
        self, fingerprint: bytes, endpoint: str, *, is_only_candidate: bool = False
    ) -> StartAdvice:
        """Return how to handle `endpoint` as a candidate for a request.

        For a suspect, also claims the run if possible, or drops a claim that another
        run precludes.

        Args:
            fingerprint: The request's fingerprint.
            endpoint: A candidate endpoint for its run.
            is_only_candidate: Whether there is no other candidate. Only then may
                a suspect run again at an endpoint that crashed while running it.

        Raises:
            RefusedError: The request is quarantined and was not run.
        """
        with self._change():
            self._check(fingerprint)
            if not self._entries.find_active(fingerprint):
                self._scheduler.drop(fingerprint)
                return self._scheduler.advise_unsuspected(fingerprint, endpoint)
            return self._scheduler.advise_suspect(
                fingerprint, endpoint, is_only_candidate
            )

    def start_run(self, fingerprint: bytes, endpoint: str) -> Run:
        """Record the start of a run; must be called just before the request is sent.

        Raises:
            RefusedError: The request was not run: it is quarantined, or a
                suspect for which `advise_start` has not allowed the start.
        """
        with self._change():
            self._check(fingerprint)
            has_active_crashes = bool(self._entries.find_active(fingerprint))
            if has_active_crashes and not self._scheduler.may_start_claimed(
                fingerprint, endpoint
            ):
                raise RefusedError(
                    "the request is suspected of a crash and may not start yet",
                    code=ErrorCode.OVERLOADED,
                    retry_after=self._settings.claim_min_age,
                )
            self._scheduler.drop(fingerprint)
            run = Run(fingerprint, endpoint, self._clock.monotonic_s(), self)
            self._runs.add(run)
            return run

    def complete_run(self, run: Run) -> None:
        """Record that a run got its complete answer; called by `Run.finish`."""
        with self._change():
            if self._runs.remove(run):
                self._entries.dismiss_crashes(run.fingerprint)

    def end_incomplete_run(self, run: Run, evidence: CrashEvidence | None) -> None:
        """Record the end of a run without a complete answer.

        Called by `Run.fail`, and by `Run.abandon` without evidence.
        """
        with self._change():
            if not self._runs.remove(run):
                return
            if evidence is not None and evidence.is_crash:
                now_s = self._clock.monotonic_s()
                crash = self._crashes.identify(run, evidence, now_s)
                self._entries.record(run.fingerprint, crash)

    def record_health_answer(
        self, endpoint: str, incarnation: str, requested_at_s: float
    ) -> None:
        """Record the answer to a health check, which dismisses earlier crashes.

        The incarnation still runs, so it has not crashed before the check.

        Args:
            endpoint: The endpoint that answered.
            incarnation: The incarnation that it reported.
            requested_at_s: When the health check was sent, in monotonic seconds.
                Crashes recorded later are not dismissed.
        """
        with self._change():
            self._entries.dismiss_older_crashes(endpoint, incarnation, requested_at_s)

    def list(self) -> tuple[QuarantineEntry, ...]:
        """Return all entries, for operators."""
        with self._lock:
            return tuple(
                self._make_entry(fingerprint, entry)
                for fingerprint, entry in self._entries.iterate()
            )

    def clear(self, fingerprint: bytes) -> None:
        """Clear an entry on an operator's request; reports spread this to peers."""
        with self._change():
            self._entries.clear(fingerprint)

    @property
    def version(self) -> int:
        """The number of the last change, for `export`."""
        with self._lock:
            return self._version.value

    def export(self, since: int = 0) -> Report:
        """Return the changes after version `since`, for peers."""
        with self._lock:
            return Report(
                entries=self._entries.export(since),
                claims=self._claims.export(since),
            )

    def merge(self, report: Report) -> None:
        """Merge a peer's report; late and duplicate reports are harmless."""
        with self._change():
            for entry in report.entries:
                self._entries.merge(entry)
            for claims in report.claims:
                self._claims.merge(claims)

    def renew_claims(self) -> None:
        """Renew this instance's claims; must be called at each replicator tick."""
        with self._change():
            # On exit, `_change` publishes the claims, which renews them.
            return

    def digest(self) -> bytes:
        """Return 8 bytes that are equal at instances with the same entries."""
        with self._lock:
            return self._entries.digest()

    @contextmanager
    def _change(self) -> Iterator[None]:
        """Run the body under the lock, then publish claims and signal changes."""
        with self._lock:
            before = self._version.value
            try:
                yield
            finally:
                if len(self._entries):
                    self._scheduler.publish()
                if self._version.value != before:
                    self.changed.set()

    def _check(self, fingerprint: bytes) -> None:
        if self._entries.is_quarantined(fingerprint):
            raise RefusedError(
                "the request is quarantined because it crashed endpoints",
                code=ErrorCode.QUARANTINED,
            )

    def _make_entry(self, fingerprint: bytes, entry: StoredEntry) -> QuarantineEntry:
        active = tuple(sorted(self._entries.find_active(fingerprint)))
        state = EntryState.SUSPECT if active else EntryState.CLEARED
        if self._entries.is_quarantined(fingerprint):
            state = EntryState.QUARANTINED
        remaining_s = entry.find_expiry_s() - self._clock.monotonic_s()
        return QuarantineEntry(
            fingerprint, state, active, entry.generation, timedelta(seconds=remaining_s)
        )
