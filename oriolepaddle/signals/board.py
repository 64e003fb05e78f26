"""The signals of all endpoints."""

import threading
from collections.abc import Callable, Iterable

from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event
from oriolepaddle.signals.entries import LeavingEntry, LimitEntry
from oriolepaddle.signals.signals import EndpointSignals

__all__ = ["SignalBoard"]

OWN_ORIGIN = "own"
MAX_ENTRIES = 8_192
"""Twice the endpoints of the largest fleet in the capacity page."""
MAX_SENT = 64
"""Limits in one announcement."""
LEAVING_SENT_S = 10.0
"""Time for which a leaving endpoint is announced; the list of endpoints has it after
a few seconds."""
MIN_GAIN_S = 0.5
"""Time by which another instance's statement of the same limit must be newer. Each hop
makes a statement look newer by its delay."""


class SignalBoard:
    """Keeps what each incarnation of an endpoint last said of itself. Thread-safe.

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
        self._limits: dict[str, LimitEntry] = {}
        self._leaving: dict[str, LeavingEntry] = {}
        self._sent_count = 0

    def record(self, incarnation: str, signals: EndpointSignals, sent_s: float) -> None:
        """Record the signals of an answer whose head has just been received.

        Args:
            incarnation: The incarnation of the endpoint that answered.
            signals: The signals.
            sent_s: Monotonic time before which the request was not sent.
        """
        if signals.is_leaving:
            now_s = self._clock.monotonic_s()
            self.merge_leaving((LeavingEntry(incarnation, now_s, OWN_ORIGIN),))
        limit_per_s = signals.limit_per_s
        if limit_per_s is None and incarnation not in self._limits:
            return
        # An answer without a limit may have been on its way when another one named it,
        # so it says nothing of the time after its request was sent.
        stated_s = sent_s if limit_per_s is None else self._clock.monotonic_s()
        self._store(LimitEntry(incarnation, limit_per_s, stated_s, OWN_ORIGIN), 0.0)

    def merge(self, entries: Iterable[LimitEntry]) -> None:
        """Merge what another instance knows; the newest statement applies.

        Args:
            entries: Its entries, with times by this instance's clock.
        """
        for entry in entries:
            known = self._limits.get(entry.incarnation)
            is_same = known is not None and known.limit_per_s == entry.limit_per_s
            self._store(entry, MIN_GAIN_S if is_same else 0.0)

    def merge_leaving(self, entries: Iterable[LeavingEntry]) -> None:
        """Merge endpoints that leave; an incarnation that leaves never returns."""
        for entry in entries:
            with self._lock:
                if entry.incarnation in self._leaving:
                    continue
                self._leaving[entry.incarnation] = entry
                if len(self._leaving) > MAX_ENTRIES:
                    del self._leaving[next(iter(self._leaving))]
            self._count("endpoint_leaving")
            log_event(
                "endpoint_leaving",
                incarnation=entry.incarnation,
                origin=entry.origin,
                age_s=round(self._clock.monotonic_s() - entry.heard_s, 3),
            )

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an endpoint has said that it leaves."""
        return incarnation in self._leaving

    def select_leaving_to_send(self) -> list[LeavingEntry]:
        """Return the endpoints that began to leave recently, for other instances."""
        if not self._leaving:
            return []
        oldest_s = self._clock.monotonic_s() - LEAVING_SENT_S
        with self._lock:
            recent = [
                entry for entry in self._leaving.values() if entry.heard_s >= oldest_s
            ]
        return recent[-MAX_SENT:]

    def select_to_send(self) -> list[LimitEntry]:
        """Return the entries for the next announcement, each in its turn."""
        if not self._limits:
            return []
        with self._lock:
            entries = list(self._limits.values())
            start = self._sent_count % len(entries)
            self._sent_count += MAX_SENT
        return (entries[start:] + entries[:start])[:MAX_SENT]

    def find_limit(self, incarnation: str) -> float | None:
        """Return the requests a second that an endpoint takes, or None."""
        entry = self._limits.get(incarnation)
        return entry.limit_per_s if entry else None

    def find_entry(self, incarnation: str) -> LimitEntry | None:
        """Return what is known of an endpoint's limit, or None."""
        return self._limits.get(incarnation)

    def _store(self, entry: LimitEntry, min_gain_s: float) -> None:
        with self._lock:
            known = self._limits.get(entry.incarnation)
            if known is not None and entry.stated_s <= known.stated_s + min_gain_s:
                return
            self._limits[entry.incarnation] = entry
            self._drop_oldest()
        previous = known.limit_per_s if known else None
        if entry.limit_per_s != previous:
            self._report_limit(entry, previous)

    def _drop_oldest(self) -> None:
        if len(self._limits) <= MAX_ENTRIES:
            return
        oldest = min(self._limits.values(), key=lambda entry: entry.stated_s)
        del self._limits[oldest.incarnation]

    def _report_limit(self, entry: LimitEntry, previous: float | None) -> None:
        event = "endpoint_limit_changed"
        if entry.limit_per_s is None:
            event = "endpoint_limit_lifted"
        self._count(event)
        log_event(
            event,
            incarnation=entry.incarnation,
            limit_per_s=entry.limit_per_s,
            replaced_per_s=previous,
            origin=entry.origin,
            age_s=round(self._clock.monotonic_s() - entry.stated_s, 3),
        )
