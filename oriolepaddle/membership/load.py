"""Load summaries, which heartbeats spread between data centres."""

import bisect
import itertools
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock

__all__ = ["LOAD_SUMMARY_TTL", "LoadSummary", "LoadSummaryTable"]

LOAD_SUMMARY_TTL = timedelta(seconds=120)
RESEND_AGE_DIFFERENCE_S = 4.0
EXPIRE_INTERVAL_S = 1.0


@attrs.frozen
class LoadSummary:
    """The load of one route in one data centre.

    Attributes:
        data_centre: The data centre.
        route: The route's id.
        queueing: Expected queueing time of a request.
        free_slots: Endpoint slots that are free.
        age: Time since the load was measured, without the network delay.
        requests_per_s: Requests that the endpoints can complete per second.
        prefill_tokens_per_s: Prefill rate of a typical endpoint.
    """

    data_centre: str
    route: str
    queueing: timedelta
    free_slots: int
    age: timedelta = timedelta()
    requests_per_s: float = 1.0
    prefill_tokens_per_s: float = 4000.0


@attrs.frozen
class _StoredSummary:
    summary: LoadSummary
    measured_at_s: float
    source: str | None


SummaryKey = tuple[str, str]


@attrs.define
class _SentSummaries:
    """What was sent to one peer, and the key after which to continue."""

    cursor: SummaryKey = ("", "")
    measured_at_s: dict[SummaryKey, float] = attrs.field(factory=dict)

    def lacks(self, name: SummaryKey, measured_at_s: float) -> bool:
        """Return whether the peer has no summary, or one that is much older."""
        peer_measured_at_s = self.measured_at_s.get(name)
        return (
            peer_measured_at_s is None
            or measured_at_s - peer_measured_at_s >= RESEND_AGE_DIFFERENCE_S
        )


class LoadSummaryTable:
    """The freshest load summary of each data centre and route. Thread-safe.

    Args:
        clock: The time.
        is_near: Returns whether a data centre's summaries have priority: half
            of each message is reserved for them.
    """

    def __init__(self, clock: Clock, is_near: Callable[[str], bool]) -> None:
        self._clock = clock
        self._is_near = is_near
        self._lock = threading.Lock()
        self._summaries: dict[SummaryKey, _StoredSummary] = {}
        self._names: list[SummaryKey] = []
        self._near_names: list[SummaryKey] = []
        self._sent: dict[str, _SentSummaries] = {}
        self._expire_at_s = 0.0

    def put(self, summary: LoadSummary, source: str | None) -> None:
        """Store a summary if it is fresher than the stored one.

        Args:
            summary: The summary with its age.
            source: The peer that sent it, or None for this instance's own.
        """
        if summary.age > LOAD_SUMMARY_TTL:
            return
        measured_at_s = self._clock.monotonic_s() - summary.age.total_seconds()
        name = (summary.data_centre, summary.route)
        with self._lock:
            stored = self._summaries.get(name)
            if stored is None:
                bisect.insort(self._names, name)
                self._expire_at_s = 0.0
            if stored is None or stored.measured_at_s < measured_at_s:
                self._summaries[name] = _StoredSummary(summary, measured_at_s, source)
            if source is not None:
                times = self._sent.setdefault(source, _SentSummaries()).measured_at_s
                times[name] = max(times.get(name, measured_at_s), measured_at_s)

    def summaries(self) -> tuple[LoadSummary, ...]:
        """Return the summaries with their current ages."""
        with self._lock:
            self._expire()
            return tuple(self._age(stored) for stored in self._summaries.values())

    def choose(
        self, peer: str, skipped_sources: frozenset[str], limit: int
    ) -> tuple[LoadSummary, ...]:
        """Return summaries that `peer` lacks, round-robin, and mark them as sent.

        Args:
            peer: The peer to send to.
            skipped_sources: Peers from which it receives summaries directly.
            limit: The maximum number of summaries.
        """
        with self._lock:
            self._expire()
            sent = self._sent.setdefault(peer, _SentSummaries())
            chosen = self._choose_from(
                self._near_names, sent, skipped_sources, limit // 2
            )
            remaining = limit - len(chosen)
            chosen += self._choose_from(self._names, sent, skipped_sources, remaining)
            return tuple(chosen)

    def _choose_from(
        self,
        names: list[SummaryKey],
        sent: _SentSummaries,
        skipped_sources: frozenset[str],
        limit: int,
    ) -> list[LoadSummary]:
        chosen: list[LoadSummary] = []
        start = bisect.bisect_right(names, sent.cursor)
        for name in itertools.chain(names[start:], names[:start]):
            if len(chosen) == limit:
                break
            stored = self._summaries[name]
            is_skipped = stored.source is not None and stored.source in skipped_sources
            if is_skipped or not sent.lacks(name, stored.measured_at_s):
                continue
            sent.measured_at_s[name] = stored.measured_at_s
            chosen.append(self._age(stored))
            cursor = name
        if chosen and names is self._names:
            sent.cursor = cursor
        return chosen

    def forget(self, peer: str) -> None:
        """Forget what was sent to a peer that was removed or has restarted."""
        with self._lock:
            self._sent.pop(peer, None)

    def _age(self, stored: _StoredSummary) -> LoadSummary:
        age_s = max(0.0, self._clock.monotonic_s() - stored.measured_at_s)
        summary = stored.summary
        return LoadSummary(
            summary.data_centre,
            summary.route,
            summary.queueing,
            summary.free_slots,
            timedelta(seconds=age_s),
        )

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._expire_at_s:
            return
        self._expire_at_s = now_s + EXPIRE_INTERVAL_S
        oldest_s = now_s - LOAD_SUMMARY_TTL.total_seconds()
        expired = [
            n
            for n, stored in self._summaries.items()
            if stored.measured_at_s < oldest_s
        ]
        for name in expired:
            del self._summaries[name]
        self._names = sorted(self._summaries)
        self._near_names = [name for name in self._names if self._is_near(name[0])]
