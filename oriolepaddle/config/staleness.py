"""A bound on the use of keys by an instance that is cut off."""

import threading
from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["StalenessGuard"]


class StalenessGuard:
    """Checks whether the configuration is too old for requests with a key.

    An instance that is cut off from the platform and from every peer cannot learn that
    a key was withdrawn. With `max_staleness` it stops serving requests with a key after
    that time; with None it continues to serve them.

    Args:
        clock: Source of the time. It is read at each call, so that time during which
            the process was paused counts.
        max_staleness: The longest time without contact, or None for no bound.
    """

    def __init__(self, clock: Clock, max_staleness: timedelta | None) -> None:
        self._clock = clock
        self._max_staleness = max_staleness
        self._lock = threading.Lock()
        self._last_contact_s = clock.monotonic_s()

    def record_contact(self, requested_at_s: float) -> None:
        """Record a response from the platform or an answered heartbeat.

        Args:
            requested_at_s: Monotonic seconds at which the request was sent.
        """
        with self._lock:
            self._last_contact_s = max(self._last_contact_s, requested_at_s)

    def staleness(self) -> timedelta:
        """Return the time since the last answered request was sent."""
        return timedelta(seconds=self._clock.monotonic_s() - self._last_contact_s)

    def is_too_stale(self) -> bool:
        """Return whether requests with a key must be refused now."""
        if self._max_staleness is None:
            return False
        return self.staleness() > self._max_staleness
