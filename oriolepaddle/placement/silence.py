"""Noticing that an endpoint answers nobody, or not a certain request."""

import itertools

__all__ = ["SilenceWatch"]

QUIET_S = 0.4
"""Time without a byte before an endpoint can count as silent: some twenty times the
usual time between two events of a stream, and less than callers' targets."""
EXPECTED_FACTOR = 2.0
"""A first byte is overdue after this many times what was expected, and `QUIET_S`."""


class SilenceWatch:
    """Watches over the requests at one endpoint that have no answer yet.

    The load that this answers: an engine or its machine goes dark under full load.
    Its connections stay open and its queue looks short, so that it would draw more
    and more requests until it is taken off the list seconds later. An engine may
    also lose some requests and answer the others.

    It is not thread-safe but for `record_activity`.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._due: dict[int, float] = {}
        self._heard_s = float("-inf")
        self._last_answered = -1

    def expect(self, now_s: float, expected_s: float) -> int:
        """Note a request that is sent now.

        Args:
            now_s: Monotonic seconds.
            expected_s: Seconds until its first byte.

        Returns:
            Its number here.
        """
        number = next(self._numbers)
        self._due[number] = now_s + EXPECTED_FACTOR * expected_s + QUIET_S
        return number

    def answer(self, number: int) -> None:
        """Note the first byte of a request's answer."""
        self._last_answered = max(self._last_answered, number)
        self.forget(number)

    def forget(self, number: int) -> None:
        """Note that a request has ended."""
        self._due.pop(number, None)

    def record_activity(self, now_s: float) -> None:
        """Note that something came from the endpoint."""
        self._heard_s = now_s

    @property
    def waiting(self) -> int:
        """Requests without an answer."""
        return len(self._due)

    def silent_s(self, now_s: float) -> float | None:
        """Return the seconds since something came from it, None if nothing ever did."""
        silence_s = now_s - self._heard_s
        return None if silence_s == float("inf") else round(silence_s, 3)

    def seems_lost(self, number: int, now_s: float) -> bool:
        """Return whether a request seems to be lost.

        Its first byte is overdue, and a later request was answered before it or
        the endpoint answers nobody.
        """
        if now_s <= self._due.get(number, float("inf")):
            return False
        return number < self._last_answered or self.is_silent(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether answers are overdue and nothing else comes either."""
        if not self._due or now_s - self._heard_s <= QUIET_S:
            return False
        return now_s > min(self._due.values())
