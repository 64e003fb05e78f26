"""Detects streams whose endpoint has stopped sending after their first event."""

__all__ = ["StallDetector"]

MIN_STALL_S = 1.0
"""Silence of an endpoint after which its streams count as stalled, unless their events
are that far apart. Callers abandon a stream after two seconds or more."""
STALL_INTERVALS = 10.0
"""The same as a multiple of the usual interval between two events."""
MAX_CHECK_GAP_S = 0.3
"""Longest time between two checks that counts. A longer one means that this instance
was paused or had no processor time, and did not read what the endpoint had sent."""


class StallDetector:
    """Adds up the time in which one stream's endpoint sent nothing at all.

    Counts what the endpoint sends to any request. A stream may rest for long at an
    engine that serves others meanwhile, and goes on by itself.
    """

    def __init__(self) -> None:
        self._activity_s: float | None = None
        self._checked_s: float | None = None
        self._silent_s = 0.0

    def check(self, now_s: float, last_activity_s: float, interval_s: float) -> bool:
        """Return whether the stream is stalled; must be called periodically.

        Args:
            now_s: Monotonic seconds.
            last_activity_s: When the endpoint last sent data to any request.
            interval_s: The usual seconds between two events of a stream.
        """
        checked_s, self._checked_s = self._checked_s, now_s
        if last_activity_s != self._activity_s:
            self._activity_s = last_activity_s
            self._silent_s = 0.0
        elif checked_s is not None:
            self._silent_s += min(now_s - checked_s, MAX_CHECK_GAP_S)
        return self._silent_s >= max(MIN_STALL_S, STALL_INTERVALS * interval_s)
