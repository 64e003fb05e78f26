"""Summaries of load that spread from data centre to data centre."""

import bisect
import itertools
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock

__all__ = ["LOAD_LIFE", "LoadBoard", "LoadSummary"]

LOAD_LIFE = timedelta(seconds=120)
REFRESH_S = 4.0
EXPIRE_INTERVAL_S = 1.0


@attrs.frozen
class LoadSummary:
    """The load of one route in one data centre.

    Attributes:
        data_centre: The data centre.
        route: The route's id.
        queueing: Expected time in the queue before a request runs.
        free_slots: Endpoint slots that are free.
        age: Time since the load was measured, time on the way not counted.
        requests_per_s: Requests that the endpoints can finish each second.
        prefill_tokens_per_s: Speed of prefill of a typical endpoint.
    """

    data_centre: str
    route: str
    queueing: timedelta
    free_slots: int
    age: timedelta = timedelta()
    requests_per_s: float = 1.0
    prefill_tokens_per_s: float = 4000.0


@attrs.frozen
class _Held:
    summary: LoadSummary
    measured_at_s: float
    source: str | None


Name = tuple[str, str]


@attrs.define
class _Sent:
    """What one peer has, and the name after which it is told next."""

    cursor: Name = ("", "")
    measured_at_s: dict[Name, float] = attrs.field(factory=dict)

    def lacks(self, name: Name, measured_at_s: float) -> bool:
        """Return whether a summary is much fresher than what the peer has."""
        held_s = self.measured_at_s.get(name)
        return held_s is None or measured_at_s - held_s >= REFRESH_S


class LoadBoard:
    """The freshest summary of each data centre and route. Thread-safe.

    Args:
        clock: The time.
        is_near: Whether a data centre's summaries go out before others': half
            of each message is kept for them.
    """

    def __init__(self, clock: Clock, is_near: Callable[[str], bool]) -> None:
        self._clock = clock
        self._is_near = is_near
        self._lock = threading.Lock()
        self._held: dict[Name, _Held] = {}
        self._names: list[Name] = []
        self._near_names: list[Name] = []
        self._sent: dict[str, _Sent] = {}
        self._expire_at_s = 0.0

    def put(self, summary: LoadSummary, source: str | None) -> None:
        """Keep a summary if it is fresher than the one held.

        Args:
            summary: The summary with its age.
            source: The peer that sent it, or None for this instance's own.
        """
        if summary.age > LOAD_LIFE:
            return
        measured_at_s = self._clock.monotonic_s() - summary.age.total_seconds()
        name = (summary.data_centre, summary.route)
        with self._lock:
            held = self._held.get(name)
            if held is None:
                bisect.insort(self._names, name)
                self._expire_at_s = 0.0
            if held is None or held.measured_at_s < measured_at_s:
                self._held[name] = _Held(summary, measured_at_s, source)
            if source is not None:
                times = self._sent.setdefault(source, _Sent()).measured_at_s
                times[name] = max(times.get(name, measured_at_s), measured_at_s)

    def summaries(self) -> tuple[LoadSummary, ...]:
        """Return the summaries, each with its age now."""
        with self._lock:
            self._expire()
            return tuple(self._age(held) for held in self._held.values())

    def choose(
        self, peer: str, skipped_sources: frozenset[str], limit: int
    ) -> tuple[LoadSummary, ...]:
        """Return summaries that `peer` lacks, in turn, and mark them sent.

        Args:
            peer: The peer to send to.
            skipped_sources: Peers whose summaries it has from themselves.
            limit: The most summaries to return.
        """
        with self._lock:
            self._expire()
            sent = self._sent.setdefault(peer, _Sent())
            chosen = self._choose_from(
                self._near_names, sent, skipped_sources, limit // 2
            )
            left = limit - len(chosen)
            chosen += self._choose_from(self._names, sent, skipped_sources, left)
            return tuple(chosen)

    def _choose_from(
        self,
        names: list[Name],
        sent: _Sent,
        skipped_sources: frozenset[str],
        limit: int,
    ) -> list[LoadSummary]:
        chosen: list[LoadSummary] = []
        start = bisect.bisect_right(names, sent.cursor)
        for name in itertools.chain(names[start:], names[:start]):
            if len(chosen) == limit:
                break
            held = self._held[name]
            is_skipped = held.source is not None and held.source in skipped_sources
            if is_skipped or not sent.lacks(name, held.measured_at_s):
                continue
            sent.measured_at_s[name] = held.measured_at_s
            chosen.append(self._age(held))
            cursor = name
        if chosen and names is self._names:
            sent.cursor = cursor
        return chosen

    def forget(self, peer: str) -> None:
        """Forget what was sent to a peer that went or restarted."""
        with self._lock:
            self._sent.pop(peer, None)

    def _age(self, held: _Held) -> LoadSummary:
        age_s = max(0.0, self._clock.monotonic_s() - held.measured_at_s)
        summary = held.summary
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
        oldest_s = now_s - LOAD_LIFE.total_seconds()
        gone = [n for n, held in self._held.items() if held.measured_at_s < oldest_s]
        for name in gone:
            del self._held[name]
        self._names = sorted(self._held)
        self._near_names = [name for name in self._names if self._is_near(name[0])]
