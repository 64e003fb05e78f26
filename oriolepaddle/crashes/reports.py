"""The crashes of endpoints, and the requests that are refused because of them."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.crashes.keys import RequestKeys
from oriolepaddle.crashes.ledger import CrashLedger
from oriolepaddle.crashes.report import CrashReport
from oriolepaddle.crashes.runs import SuspectRun, SuspectRuns
from oriolepaddle.crashes.verdicts import Verdicts
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.logs import log_event

__all__ = ["OWN_ORIGIN", "CrashEntry", "CrashReports"]

OWN_ORIGIN = "own"
RETRY_AFTER = timedelta(milliseconds=300)
"""Retry delay for what is suspected: about the time of a test."""
CALLER_CHECK_INTERVAL = timedelta(milliseconds=50)
_UNSUSPECTED_RUN = SuspectRun()


@attrs.frozen
class CrashEntry:
    """A suspect, for operators.

    Attributes:
        key: The request or the service with the part of a prompt.
        is_refused: Whether it is known to be the cause.
        crashes: The incarnations of endpoints that it may have crashed.
        age_s: Seconds since the last of these crashes.
    """

    key: str
    is_refused: bool
    crashes: tuple[str, ...]
    age_s: float


class CrashReports:
    """Merges the reports of all instances, and refuses what they accuse. Thread-safe.

    A part of a prompt that is suspected may run once at a time. What is left at several
    crashes is their cause, and is refused.

    Args:
        clock: The source of time.
        count: Called with the name of each event, for metrics.
    """

    def __init__(
        self, clock: Clock, count: Callable[[str], None] = lambda event: None
    ) -> None:
        self._clock = clock
        self._count = count
        self._lock = threading.Lock()
        self._ledger = CrashLedger(clock)
        self._runs = SuspectRuns()
        self._changed = threading.Event()

    def check(self, keys: RequestKeys) -> None:
        """Refuse a request that is known to crash endpoints.

        Raises:
            RefusedError: The request is refused and was not run.
        """
        if len(self._ledger) == 0:
            return
        with self._lock:
            self._expire()
            self._check(keys)

    def start(
        self, keys: RequestKeys, wait_until_s: float, check_caller: Callable[[], None]
    ) -> SuspectRun:
        """Start a run, after the runs that test the same suspects.

        Args:
            keys: The request's keys.
            wait_until_s: Monotonic time after which the run is refused.
            check_caller: Called while waiting; raises an error if the caller has
                disconnected.

        Raises:
            RefusedError: The request is refused, or its suspects are still tested.
        """
        while True:
            with self._lock:
                if len(self._ledger) == 0:
                    return _UNSUSPECTED_RUN
                self._check(keys)
                suspects = self._ledger.verdicts.find_suspects(keys)
                if not suspects:
                    return _UNSUSPECTED_RUN
                run = self._runs.try_start(suspects)
                changed = self._changed
            if run is not None:
                return run
            if self._clock.monotonic_s() >= wait_until_s:
                raise RefusedError(
                    "another run tests whether the prompt crashes endpoints",
                    code=ErrorCode.OVERLOADED,
                    retry_after=RETRY_AFTER,
                )
            self._clock.wait(changed, CALLER_CHECK_INTERVAL)
            check_caller()

    def end(self, run: SuspectRun) -> None:
        """Record the end of a run."""
        if run is not _UNSUSPECTED_RUN:
            with self._lock:
                self._runs.end(run)
                self._signal_change()

    def record_event(self, keys: Iterable[str]) -> None:
        """Clear what an endpoint has begun to answer without crashing."""
        if len(self._ledger) == 0:
            return
        with self._lock:
            before = self._ledger.verdicts
            cleared = self._ledger.clear(frozenset(keys))
            if cleared:
                self._report("suspects_cleared", OWN_ORIGIN, keys=sorted(cleared))
                self._report_causes(before, OWN_ORIGIN)

    def merge(self, reports: Iterable[CrashReport], origin: str) -> None:
        """Merge the reports of another instance.

        Args:
            reports: Its reports, with times by this instance's clock.
            origin: Its id.
        """
        for report in reports:
            self._merge(report, origin)

    @property
    def changed_s(self) -> float:
        """Monotonic time at which a report last changed."""
        return self._ledger.changed_s

    def select_to_send(self) -> list[CrashReport]:
        """Return the reports to send to other instances."""
        if len(self._ledger) == 0:
            return []
        with self._lock:
            self._expire()
            return self._ledger.select_to_send()

    def forget(self, key: str) -> bool:
        """Clear a key on an operator's request; return whether it was suspected."""
        with self._lock:
            cleared = self._ledger.clear(frozenset({key}))
            if cleared:
                self._report("suspect_forgotten", OWN_ORIGIN, keys=[key])
                self._signal_change()
            return bool(cleared)

    def entries(self) -> list[CrashEntry]:
        """Return what is suspected or refused."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            verdicts = self._ledger.verdicts
            found: dict[str, list[CrashReport]] = {}
            for report in self._ledger.reports():
                requests = report.requests | (report.cut & verdicts.causes)
                for key in report.find_suspect_parts() | (requests - report.cleared):
                    found.setdefault(key, []).append(report)
        return [
            CrashEntry(
                key,
                key in verdicts.causes,
                tuple(report.incarnation for report in reports),
                now_s - max(report.recorded_s for report in reports),
            )
            for key, reports in sorted(found.items())
        ]

    def _merge(self, report: CrashReport, origin: str) -> None:
        with self._lock:
            before = self._ledger.verdicts
            if not self._ledger.merge(report):
                return
            self._report(
                "crash_recorded",
                origin,
                incarnation=report.incarnation,
                answering=sorted(report.answering),
                waiting=sorted(report.waiting),
                requests=sorted(report.requests),
                cut=sorted(report.cut),
                cleared=sorted(report.cleared),
                has_ended=report.has_ended,
                age_s=round(self._clock.monotonic_s() - report.recorded_s, 3),
            )
            self._report_causes(before, origin)

    def _report_causes(self, before: Verdicts, origin: str) -> None:
        verdicts = self._ledger.verdicts
        suspected = verdicts.crashes.keys() - before.crashes.keys()
        if suspected:
            self._report("parts_suspected", origin, keys=sorted(suspected))
        for key in verdicts.causes - before.causes:
            self._report(
                "crash_cause_found",
                origin,
                key=key,
                crashes=sorted(verdicts.crashes.get(key, ())),
            )
        self._signal_change()

    def _check(self, keys: RequestKeys) -> None:
        if self._ledger.verdicts.is_refused(keys):
            self._count("refused")
            raise RefusedError(
                "the request has crashed endpoints, or has a part that does",
                code=ErrorCode.QUARANTINED,
            )

    def _expire(self) -> None:
        for report in self._ledger.expire():
            self._report(
                "crash_forgotten",
                OWN_ORIGIN,
                incarnation=report.incarnation,
                age_s=round(self._clock.monotonic_s() - report.recorded_s, 3),
            )

    def _report(self, event: str, origin: str, **fields: object) -> None:
        self._count(event)
        log_event(event, origin=origin, **fields)

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = threading.Event()
