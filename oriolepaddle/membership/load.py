"""Summaries of load that spread from data centre to data centre."""

import threading
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock

__all__ = ["LOAD_LIFE", "LoadBoard", "LoadSummary"]

LOAD_LIFE = timedelta(seconds=120)
REFRESH_S = 4.0


@attrs.frozen
class LoadSummary:
    """The load of one route in one data centre.

    Attributes:
        data_centre: The data centre.
        route: The route's id.
        queueing: Expected time in the queue before a request runs.
        free_slots: Endpoint slots that are free.
        age: Time since the load was measured, time on the way not counted.
    """

    data_centre: str
    route: str
    queueing: timedelta
    free_slots: int
    age: timedelta = timedelta()


@attrs.frozen
class _Held:
    summary: LoadSummary
    measured_at_s: float
    source: str | None


Name = tuple[str, str]


class LoadBoard:
    """The freshest summary of each data centre and route. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._held: dict[Name, _Held] = {}
        self._sent: dict[str, dict[Name, float]] = {}

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
            if held is None or held.measured_at_s < measured_at_s:
                self._held[name] = _Held(summary, measured_at_s, source)
            if source is not None:
                sent = self._sent.setdefault(source, {})
                sent[name] = max(sent.get(name, measured_at_s), measured_at_s)

    def summaries(self) -> tuple[LoadSummary, ...]:
        """Return the summaries, each with its age now."""
        with self._lock:
            self._expire()
            return tuple(self._age(held) for held in self._held.values())

    def choose(
        self, peer: str, skipped_sources: frozenset[str], limit: int
    ) -> tuple[LoadSummary, ...]:
        """Return the summaries that `peer` lacks longest, and mark them sent.

        Args:
            peer: The peer to send to.
            skipped_sources: Peers whose summaries it has from themselves.
            limit: The most summaries to return.
        """
        with self._lock:
            self._expire()
            sent = self._sent.setdefault(peer, {})
            due = [
                (held.measured_at_s - sent.get(name, float("-inf")), name, held)
                for name, held in self._held.items()
                if held.source is None or held.source not in skipped_sources
            ]
            due = [item for item in due if item[0] >= REFRESH_S]
            due.sort(key=lambda item: (-item[0], item[1]))
            chosen = due[:limit]
            for _, name, held in chosen:
                sent[name] = held.measured_at_s
            return tuple(self._age(held) for _, _, held in chosen)

    def forget(self, peer: str) -> None:
        """Forget what was sent to a peer that went or restarted."""
        with self._lock:
            self._sent.pop(peer, None)

    def _age(self, held: _Held) -> LoadSummary:
        age_s = max(0.0, self._clock.monotonic_s() - held.measured_at_s)
        return attrs.evolve(held.summary, age=timedelta(seconds=age_s))

    def _expire(self) -> None:
        oldest_s = self._clock.monotonic_s() - LOAD_LIFE.total_seconds()
        gone = [n for n, held in self._held.items() if held.measured_at_s < oldest_s]
        for name in gone:
            del self._held[name]
