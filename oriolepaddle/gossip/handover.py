"""What changes in another region between its report and a request's arrival.

Handles peaks that move between regions: reports are up to a second old, and in that
time all instances of a region forward by the same reports.
"""

import math
from collections import deque

import attrs

__all__ = ["ForwardedRequests", "WaitDrift"]

DRIFT_DECAY_S = 4.0
"""Time constant with which observed changes of a wait are averaged, as for the prefill
speeds that waits are derived from."""
MIN_DRIFT_INTERVAL_S = 0.1
"""Shortest time between two reports that are compared. A hub reads its region's wait
once in this time, so that closer ones are the same reading on two ways."""
RETENTION_S = 6.0
"""Time for which forwarded requests are kept: two windows with the oldest report."""
BUCKET_S = 0.05
"""Interval over which forwarded requests are summed, so that a window has few sums."""


@attrs.define
class WaitDrift:
    """How fast the announced wait of a region changes.

    Attributes:
        variance_per_s: Mean squared change of the wait, in seconds squared for each
            second between two reports.
    """

    variance_per_s: float = 0.0
    _wait_s: float | None = None
    _announced_s: float = 0.0

    def record(self, wait_s: float, announced_s: float) -> None:
        """Record an announced wait."""
        elapsed_s = announced_s - self._announced_s
        if self._wait_s is not None and elapsed_s < MIN_DRIFT_INTERVAL_S:
            return
        if self._wait_s is not None and math.isfinite(wait_s - self._wait_s):
            sample = (wait_s - self._wait_s) ** 2 / elapsed_s
            weight = 1 - math.exp(-elapsed_s / DRIFT_DECAY_S)
            self.variance_per_s += weight * (sample - self.variance_per_s)
        self._wait_s, self._announced_s = wait_s, announced_s

    def spread_s(self, elapsed_s: float) -> float:
        """Return the standard deviation of the change over some seconds."""
        return math.sqrt(self.variance_per_s * max(0.0, elapsed_s))


@attrs.define
class _Bucket:
    """The requests that were forwarded in one interval."""

    number: int
    requests: int = 0
    tokens: int = 0


class ForwardedRequests:
    """The requests that this instance forwarded to a region for one service."""

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()

    def record(self, now_s: float, tokens: int) -> None:
        """Record a request with a number of prompt tokens."""
        number = int(now_s / BUCKET_S)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        bucket = self._buckets[-1]
        bucket.requests += 1
        bucket.tokens += tokens
        oldest = int((now_s - RETENTION_S) / BUCKET_S)
        while self._buckets[0].number < oldest:
            self._buckets.popleft()

    def find_growth(self, now_s: float, window_s: float) -> tuple[int, int]:
        """Return by how many more were forwarded in the last window than before it.

        Requests that are forwarded at a constant rate are in the report already.

        Returns:
            The number of requests, and the mean number of their prompt tokens.
        """
        first = int((now_s - window_s) / BUCKET_S)
        before = int((now_s - 2 * window_s) / BUCKET_S)
        growth = requests = tokens = 0
        for bucket in reversed(self._buckets):
            if bucket.number <= before:
                break
            is_recent = bucket.number > first
            growth += bucket.requests if is_recent else -bucket.requests
            if is_recent:
                requests += bucket.requests
                tokens += bucket.tokens
        return growth, tokens // max(1, requests)
