"""Detects endpoints that stopped responding and requests that were lost."""

import itertools

__all__ = ["SilenceDetector"]

MIN_SILENCE_S = 0.4
"""Minimum time without a byte after which an endpoint can be considered silent: some
twenty times the usual interval between two events of a stream, and less than callers'
latency targets."""
OVERDUE_FACTOR = 2.0
"""A first byte is overdue after this multiple of the expected time, plus
`MIN_SILENCE_S`."""


class SilenceDetector:
    """Tracks the requests at one endpoint that have no answer yet.

    If an engine or its machine stops responding under full load, its connections stay
    open and its queue looks short, so that it would attract more and more requests
    until it is removed from the catalog seconds later. An engine may also lose some
    requests and answer the others.

    Not thread-safe, except for `record_activity`.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._overdue_times_s: dict[int, float] = {}
        self._last_activity_s = float("-inf")
        self._last_answered = -1

    def record_sent(self, now_s: float, expected_s: float) -> int:
        """Record a request that is sent now.

        Args:
            now_s: Monotonic seconds.
            expected_s: Expected seconds until its first byte.

        Returns:
            Its sequence number at this endpoint.
        """
        number = next(self._numbers)
        self._overdue_times_s[number] = (
            now_s + OVERDUE_FACTOR * expected_s + MIN_SILENCE_S
        )
        return number

    def record_first_byte(self, number: int) -> None:
        """Record the first byte of a request's answer."""
        self._last_answered = max(self._last_answered, number)
        self.discard(number)

    def discard(self, number: int) -> None:
        """Stop tracking a request that has ended."""
        self._overdue_times_s.pop(number, None)

    def record_activity(self, now_s: float) -> None:
        """Record that data was received from the endpoint."""
        self._last_activity_s = now_s

    @property
    def last_activity_s(self) -> float:
        """Monotonic time at which data was last received; -inf if it never was."""
        return self._last_activity_s

    @property
    def waiting(self) -> int:
        """Number of requests without an answer."""
        return len(self._overdue_times_s)

    def silent_s(self, now_s: float) -> float | None:
        """Return the seconds since data was last received, or None if it never was."""
        silence_s = now_s - self._last_activity_s
        return None if silence_s == float("inf") else round(silence_s, 3)

    def seems_lost(self, number: int, now_s: float) -> bool:
        """Return whether a request is probably lost.

        Its first byte is overdue, and a later request was answered before it or
        the endpoint is silent.
        """
        if now_s <= self._overdue_times_s.get(number, float("inf")):
            return False
        return number < self._last_answered or self.is_silent(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether an answer is overdue and no other data is received."""
        if not self._overdue_times_s or now_s - self._last_activity_s <= MIN_SILENCE_S:
            return False
        return now_s > min(self._overdue_times_s.values())
