"""The signals of all endpoints."""

import threading
from collections.abc import Callable, Iterable

from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event
from oriolepaddle.signals.limit import LimitEntry
from oriolepaddle.signals.signals import EndpointSignals

__all__ = ["SignalBoard"]

OWN_ORIGIN = "own"
MAX_ENTRIES = 8_192
"""Twice the endpoints of the largest fleet in the capacity page."""


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

    def record(self, incarnation: str, signals: EndpointSignals, sent_s: float) -> None:
        """Record the signals of an answer whose head has just been received.

        Args:
            incarnation: The incarnation of the endpoint that answered.
            signals: The signals.
            sent_s: Monotonic time before which the request was not sent.
        """
        limit_per_s = signals.limit_per_s
        if limit_per_s is None and incarnation not in self._limits:
            return
        # An answer without a limit may have been on its way when another one named it,
        # so it says nothing of the time after its request was sent.
        stated_s = sent_s if limit_per_s is None else self._clock.monotonic_s()
        self.merge((LimitEntry(incarnation, limit_per_s, stated_s, OWN_ORIGIN),))

    def merge(self, entries: Iterable[LimitEntry]) -> None:
        """Merge limits; for each incarnation the newest statement applies."""
        for entry in entries:
            with self._lock:
                known = self._limits.get(entry.incarnation)
                if known is not None and known.stated_s >= entry.stated_s:
                    continue
                self._limits[entry.incarnation] = entry
                self._drop_oldest()
            previous = known.limit_per_s if known else None
            if entry.limit_per_s != previous:
                self._report_limit(entry, previous)

    def find_limit(self, incarnation: str) -> float | None:
        """Return the requests a second that an endpoint takes, or None."""
        entry = self._limits.get(incarnation)
        return entry.limit_per_s if entry else None

    def find_entry(self, incarnation: str) -> LimitEntry | None:
        """Return what is known of an endpoint's limit, or None."""
        return self._limits.get(incarnation)

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
