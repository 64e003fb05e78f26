"""The crashes of endpoints, and the requests that are refused because of them."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.crashes.answered import AnsweredRequests
from oriolepaddle.crashes.keys import RequestKeys
from oriolepaddle.crashes.ledger import CrashLedger
from oriolepaddle.crashes.pending import (
    ActiveRun,
    ActiveRuns,
    FindEnd,
    PendingRun,
    PendingRuns,
    RunningEndpoint,
)
from oriolepaddle.crashes.report import CrashReport
from oriolepaddle.crashes.runs import SuspectRun, SuspectRuns
from oriolepaddle.crashes.verdicts import Verdicts
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.logs import log_event

__all__ = ["CrashEntry", "CrashRegister"]

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


class CrashRegister:
    """Finds what crashes endpoints, and refuses it. Thread-safe.

    A part of a prompt is suspected after one crash and may then run once at a time.
    An event of any response clears all parts of its prompt of the crashes so far. What
    is left at several crashes is their cause, and is refused.

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
        self._active_runs = ActiveRuns()
        self._pending_runs = PendingRuns()
        self._answered_requests = AnsweredRequests()
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

    def was_cut(self, keys: RequestKeys) -> bool:
        """Return whether a run of the whole request was cut off before."""
        if len(self._ledger) == 0:
            return False
        with self._lock:
            return self._ledger.is_suspect(self._answered_requests.find_key(keys))

    def end(self, run: SuspectRun) -> None:
        """Record the end of a run."""
        if run is not _UNSUSPECTED_RUN:
            with self._lock:
                self._runs.end(run)
                self._signal_change()

    def add_active(self, run: ActiveRun) -> None:
        """Add a run, so that it counts as soon as its endpoint has ended."""
        with self._lock:
            self._active_runs.add(run)

    def discard_active(self, run: ActiveRun) -> None:
        """Remove a run that had an event, or ended."""
        with self._lock:
            self._active_runs.discard(run)

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

    def record_success(self, keys: RequestKeys) -> None:
        """Clear a whole request that an endpoint has run to its end."""
        with self._lock:
            self._answered_requests.add(keys)
        self.record_event(keys.requests)

    def record_crash(
        self, incarnation: str, keys: RequestKeys, *, has_begun: bool
    ) -> None:
        """Record that an endpoint crashed before the first event of a run.

        Args:
            incarnation: The incarnation that crashed.
            keys: The keys of the run's request.
            has_begun: Whether the response had begun.
        """
        self._record_parts(incarnation, keys, has_begun, has_ended=True)
        self.record_broken_connection(incarnation, keys)

    def record_break(
        self,
        endpoint: RunningEndpoint,
        keys: RequestKeys,
        *,
        has_begun: bool,
        is_certain: bool,
    ) -> None:
        """Record that a run broke off before its first event.

        Its connection may have been reset. It counts for more once the endpoint turns
        out to have ended; see `resolve_pending_runs`.

        Args:
            endpoint: The endpoint that ran it.
            keys: The keys of the run's request.
            has_begun: Whether the response had begun.
            is_certain: Whether it counts against the whole request like a crash.
        """
        self._add_pending(endpoint, keys, has_begun=has_begun)
        self._record_parts(endpoint.incarnation, keys, has_begun, has_ended=False)
        if is_certain:
            self.record_broken_connection(endpoint.incarnation, keys)
        else:
            self.record_cut(endpoint.incarnation, keys)

    def record_cut(self, incarnation: str, keys: RequestKeys) -> None:
        """Record that a response broke off, which sound ones do as well.

        It counts only against the same request.
        """
        self._merge(
            CrashReport(
                incarnation,
                cut=self._find_request_keys(keys),
                recorded_s=self._clock.monotonic_s(),
            ),
            OWN_ORIGIN,
        )

    def record_silence(
        self,
        endpoint: RunningEndpoint,
        keys: RequestKeys,
        *,
        has_begun: bool = False,
        has_event: bool = False,
    ) -> None:
        """Record that a run got no complete response, but its connection held.

        It counts like a response that broke off once the endpoint turns out to have
        ended; see `resolve_pending_runs`.

        Args:
            endpoint: The endpoint that ran it.
            keys: The keys of the run's request.
            has_begun: Whether the response had begun.
            has_event: Whether an event of the response had come.
        """
        self._add_pending(
            endpoint, keys, has_begun=has_begun, has_event=has_event, is_silent=True
        )

    def resolve_pending_runs(self, find_end: FindEnd, confirmed_s: float) -> None:
        """Record the failed runs whose endpoint is known to have ended since.

        Runs that broke off at endpoints which turn out to live accuse no part of a
        prompt: their connections were reset.

        Args:
            find_end: Returns whether an endpoint has ended.
            confirmed_s: Monotonic time at which the list of endpoints was confirmed.
        """
        if len(self._pending_runs) + len(self._active_runs) == 0:
            return
        with self._lock:
            silent = self._active_runs.remove_ended(find_end, self._clock.monotonic_s())
            ended, others = self._pending_runs.remove_resolved(find_end, confirmed_s)
        for run in silent:
            self._record_parts(
                run.endpoint.incarnation, run.keys, run.has_begun(), has_ended=True
            )
        for run in others:
            self._clear_parts(run.endpoint.incarnation, run.keys.parts)
        for run in ended:
            incarnation = run.endpoint.incarnation
            if run.is_silent:
                self.record_cut(incarnation, run.keys)
            if not run.has_event:
                self._record_parts(incarnation, run.keys, run.has_begun, has_ended=True)

    def is_pending(self, endpoint: RunningEndpoint) -> bool:
        """Return whether a sign that an endpoint has ended would tell something."""
        with self._lock:
            return self._pending_runs.has_endpoint(endpoint.incarnation)

    def record_end(self, endpoint: RunningEndpoint) -> None:
        """Record a sign that an endpoint has ended, for the runs that failed there."""
        incarnation = endpoint.incarnation
        self.resolve_pending_runs(
            lambda item: item.incarnation == incarnation, float("-inf")
        )

    def record_alive(self, incarnation: str, sent_s: float) -> None:
        """Record that an endpoint answers a request, so earlier breaks were resets.

        Args:
            incarnation: The endpoint's incarnation.
            sent_s: Monotonic time at which the request was sent. Bytes that were on
                their way when the endpoint ended may still come for earlier ones.
        """
        if len(self._ledger) == 0:
            return
        with self._lock:
            report = self._ledger.find(incarnation, grown_before_s=sent_s)
        if report is not None:
            self._clear_parts(incarnation, report.parts)

    def record_broken_connection(self, incarnation: str, keys: RequestKeys) -> None:
        """Record that a connection broke without a response; it may be a crash.

        It counts only against the same request.
        """
        self._merge(
            CrashReport(
                incarnation,
                requests=self._find_request_keys(keys),
                recorded_s=self._clock.monotonic_s(),
            ),
            OWN_ORIGIN,
        )

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

    def _record_parts(
        self, incarnation: str, keys: RequestKeys, has_begun: bool, has_ended: bool
    ) -> None:
        if not keys.parts:
            return
        self._merge(
            CrashReport(
                incarnation,
                answering=keys.parts if has_begun else frozenset(),
                waiting=frozenset() if has_begun else keys.parts,
                has_ended=has_ended,
                recorded_s=self._clock.monotonic_s(),
            ),
            OWN_ORIGIN,
        )

    def _add_pending(
        self,
        endpoint: RunningEndpoint,
        keys: RequestKeys,
        *,
        has_begun: bool,
        has_event: bool = False,
        is_silent: bool = False,
    ) -> None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._pending_runs.add(
                PendingRun(endpoint, keys, now_s, is_silent, has_begun, has_event)
            )

    def _clear_parts(self, incarnation: str, parts: frozenset[str]) -> None:
        """Clear parts of a break at an endpoint that isn't known to have ended."""
        with self._lock:
            report = self._ledger.find(incarnation)
        if report is None or report.has_ended or parts <= report.cleared:
            return
        cleared = report.cleared | parts
        self._merge(attrs.evolve(report, cleared=cleared), OWN_ORIGIN)

    def _find_request_keys(self, keys: RequestKeys) -> frozenset[str]:
        with self._lock:
            return frozenset({self._answered_requests.find_key(keys)})

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
