"""Holding a cold endpoint to the rate that it bears."""

__all__ = ["ColdStartBucket"]


class ColdStartBucket:
    """One request at a time, at a rate; it starts with one.

    Args:
        requests_per_s: The rate.
        now_s: Monotonic seconds.
    """

    def __init__(self, requests_per_s: float, now_s: float) -> None:
        self._rate = requests_per_s
        self._next_s = now_s

    def is_open(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return self._rate > 0 and now_s >= self._next_s

    def take(self, now_s: float) -> None:
        """Note a request that is sent now."""
        self._next_s = max(self._next_s, now_s) + 1 / self._rate
