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
from oriolepaddle.quarantine._crashes import CrashNamer
from oriolepaddle.quarantine._entries import EntryTable
from oriolepaddle.quarantine._runs import RunTable
from oriolepaddle.quarantine._stored import HeldEntry
from oriolepaddle.quarantine._trials import TrialPlanner
from oriolepaddle.quarantine._version import Version
from oriolepaddle.quarantine.advice import StartAdvice
from oriolepaddle.quarantine.entry import EntryState, QuarantineEntry
from oriolepaddle.quarantine.evidence import CrashEvidence
from oriolepaddle.quarantine.run import Run
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["Quarantine"]


class Quarantine:
    """Finds and refuses requests that crash each endpoint that runs them.

    A fingerprint in flight at a crash becomes a suspect. A suspect runs again
    at one instance at a time, at an endpoint that no other suspect uses and
    that it has not been at during a crash. A whole answer clears it, and a
    second crash puts it into quarantine, which clears those that were beside
    it. Thread-safe.

    Args:
        clock: The source of time.
        settings: The limits.
        identity: This instance.

    Attributes:
        changed: Set when there is something to tell the peers.
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
        self._crashes = CrashNamer(identity)
        self._claims = ClaimTable(clock, settings, identity, self._version)
        self._trials = TrialPlanner(
            clock, settings, identity, self._entries, self._claims, self._runs
        )
        self.changed = threading.Event()

    def check(self, fingerprint: bytes) -> None:
        """Refuse a request that is in quarantine.

        Raises:
            RefusedError: The request is in quarantine and was not run.
        """
        with self._lock:
            self._check(fingerprint)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether crashes are held against a fingerprint.

        Routing offers a suspect the least valuable endpoints first.
        """
        with self._lock:
            return bool(self._entries.find_active(fingerprint))

    def may_start(
        self, fingerprint: bytes, endpoint: str, *, is_only_candidate: bool = False
    ) -> StartAdvice:
        """Return whether a request may start at `endpoint` now.

        Args:
            fingerprint: The request's fingerprint.
            endpoint: A candidate for its run.
            is_only_candidate: Whether there is no other candidate. Only then may a
                suspect go back to an endpoint that crashed under it.

        Raises:
            RefusedError: The request is in quarantine and was not run.
        """
        with self._change():
            self._check(fingerprint)
            if not self._entries.find_active(fingerprint):
                self._trials.drop(fingerprint)
                return self._trials.advise_innocent(fingerprint, endpoint)
            return self._trials.advise_suspect(fingerprint, endpoint, is_only_candidate)

    def start_run(self, fingerprint: bytes, endpoint: str) -> Run:
        """Take in that a run starts; call it just before the request is sent.

        Raises:
            RefusedError: The request was not run: it is in quarantine, or a
                suspect without a standing `may_start`.
        """
        with self._change():
            self._check(fingerprint)
            is_suspect = bool(self._entries.find_active(fingerprint))
            if is_suspect and not self._trials.has_standing_claim(
                fingerprint, endpoint
            ):
                raise RefusedError(
                    "the request was in flight at a crash and must run alone",
                    code=ErrorCode.OVERLOADED,
                    retry_after=self._settings.claim_min_age,
                )
            self._trials.drop(fingerprint)
            run = Run(fingerprint, endpoint, self._clock.monotonic_s(), self)
            self._runs.add(run)
            return run

    def finish_run(self, run: Run) -> None:
        """Take in the whole answer of a run; see `Run.finish`."""
        with self._change():
            if self._runs.remove(run):
                self._entries.acquit(run.fingerprint)

    def end_run(self, run: Run, evidence: CrashEvidence | None) -> None:
        """Take in a run without a whole answer; see `Run.fail`."""
        with self._change():
            if not self._runs.remove(run):
                return
            if evidence is not None and evidence.is_crash:
                now_s = self._clock.monotonic_s()
                crash = self._crashes.name_crash(run, evidence, now_s)
                self._entries.record(run.fingerprint, crash)

    def record_health_answer(
        self, endpoint: str, incarnation: str, requested_at_s: float
    ) -> None:
        """Take in a health check's answer, which refutes the life's crashes.

        Args:
            endpoint: The endpoint that answered.
            incarnation: The incarnation that it named.
            requested_at_s: When it was asked, in monotonic seconds. Crashes that
                were learnt later are not refuted.
        """
        with self._change():
            self._entries.refute(endpoint, incarnation, requested_at_s)

    def list(self) -> tuple[QuarantineEntry, ...]:
        """Return all entries, for operators."""
        with self._lock:
            return tuple(
                self._make_entry(fingerprint, entry)
                for fingerprint, entry in self._entries.iterate()
            )

    def clear(self, fingerprint: bytes) -> None:
        """Drop an entry by an operator's order, here and at all peers."""
        with self._change():
            self._entries.clear(fingerprint)

    @property
    def version(self) -> int:
        """The number of the last change, for `export`."""
        with self._lock:
            return self._version.value

    def export(self, since: int = 0) -> Report:
        """Return what changed after version `since`, for peers."""
        with self._lock:
            return Report(
                entries=self._entries.export(since),
                claims=self._claims.export(since),
            )

    def merge(self, report: Report) -> None:
        """Take in a peer's report; late and doubled ones do no harm."""
        with self._change():
            for entry in report.entries:
                self._entries.merge(entry)
            for claims in report.claims:
                self._claims.merge(claims)

    def renew_claims(self) -> None:
        """Renew this instance's claims; call it at each tick."""
        with self._change():
            return

    def digest(self) -> bytes:
        """Return 8 bytes that are equal at instances with the same entries."""
        with self._lock:
            return self._entries.digest()

    @contextmanager
    def _change(self) -> Iterator[None]:
        """Hold the lock, then publish claims and signal what changed."""
        with self._lock:
            before = self._version.value
            try:
                yield
            finally:
                if len(self._entries):
                    self._trials.publish()
                if self._version.value != before:
                    self.changed.set()

    def _check(self, fingerprint: bytes) -> None:
        if self._entries.is_quarantined(fingerprint):
            raise RefusedError(
                "the request has crashed endpoints and is not tried again",
                code=ErrorCode.QUARANTINED,
            )

    def _make_entry(self, fingerprint: bytes, entry: HeldEntry) -> QuarantineEntry:
        active = tuple(sorted(entry.find_active()))
        state = EntryState.SUSPECT if active else EntryState.CLEARED
        if self._entries.is_quarantined(fingerprint):
            state = EntryState.QUARANTINED
        left_s = entry.find_expiry_s() - self._clock.monotonic_s()
        return QuarantineEntry(
            fingerprint, state, active, entry.generation, timedelta(seconds=left_s)
        )
