"""The runs of an instance, as evidence on what crashes endpoints."""

from collections.abc import Callable

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.crashes.answered import AnsweredRequests
from oriolepaddle.crashes.keys import RequestKeys
from oriolepaddle.crashes.pending import (
    ActiveRun,
    ActiveRuns,
    FindEnd,
    PendingRun,
    PendingRuns,
    RunningEndpoint,
)
from oriolepaddle.crashes.report import CrashReport
from oriolepaddle.crashes.reports import OWN_ORIGIN, CrashReports

__all__ = ["CrashRegister"]


class CrashRegister(CrashReports):
    """Records how the runs of this instance end. Thread-safe.

    An event of any response clears all parts of its prompt of the crashes so far. A run
    that breaks off before its first event is evidence at once, and counts for more
    once its endpoint is known to have ended.

    Args:
        clock: The source of time.
        count: Called with the name of each event, for metrics.
    """

    def __init__(
        self, clock: Clock, count: Callable[[str], None] = lambda event: None
    ) -> None:
        super().__init__(clock, count)
        self._active_runs = ActiveRuns()
        self._pending_runs = PendingRuns()
        self._answered_requests = AnsweredRequests()

    def was_cut(self, keys: RequestKeys) -> bool:
        """Return whether a run of the whole request was cut off before."""
        if len(self._ledger) == 0:
            return False
        with self._lock:
            return self._ledger.is_suspect(self._answered_requests.find_key(keys))

    def add_active(self, run: ActiveRun) -> None:
        """Add a run, so that it counts as soon as its endpoint has ended."""
        with self._lock:
            self._active_runs.add(run)

    def discard_active(self, run: ActiveRun) -> None:
        """Remove a run that had an event, or ended."""
        with self._lock:
            self._active_runs.discard(run)

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
