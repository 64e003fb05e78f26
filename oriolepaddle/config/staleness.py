"""How long an instance that hears from nobody goes on trusting its keys."""

import threading
from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["StalenessGuard"]


class StalenessGuard:
    """Tells whether the configuration is too old for keyed requests.

    An instance cut off from the platform and from every peer cannot learn
    that a key was withdrawn. With `max_staleness` it stops serving keyed
    requests after that time; with None it goes on serving.

    Args:
        clock: The time; read at each call, so that a pause counts.
        max_staleness: The longest silence, or None for no bound.
    """

    def __init__(self, clock: Clock, max_staleness: timedelta | None) -> None:
        self._clock = clock
        self._max_staleness = max_staleness
        self._lock = threading.Lock()
        self._heard_at_s = clock.monotonic_s()

    def record_contact(self, requested_at_s: float) -> None:
        """Note an answer from the platform or a caught-up peer.

        Args:
            requested_at_s: Monotonic seconds at which the answer was asked for.
        """
        with self._lock:
            self._heard_at_s = max(self._heard_at_s, requested_at_s)

    def staleness(self) -> timedelta:
        """Return the time since the last contact was asked for."""
        return timedelta(seconds=self._clock.monotonic_s() - self._heard_at_s)

    def is_too_stale(self) -> bool:
        """Return whether keyed requests are to be refused now."""
        if self._max_staleness is None:
            return False
        return self.staleness() > self._max_staleness
