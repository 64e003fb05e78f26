"""Rate limit of the requests to an endpoint during its cold start."""

__all__ = ["ColdStartBucket"]

BURST_REQUESTS = 3.0
"""Bucket size of all instances of a region together. A cold endpoint tolerates a burst
of as many requests beyond its rate."""
INITIAL_BURST_REQUESTS = 1.5
"""Initial balance for a newly discovered endpoint, for all instances together."""


class ColdStartBucket:
    """Token bucket with this instance's share of a cold endpoint's request rate.

    The shares of a region's instances add up to at most 1, even if some instances
    cannot reach each other. The balance is capped in proportion to the share too, so
    that all instances together never exceed the burst and the rate.

    Args:
        requests_per_s: The rate of all instances together.
        now_s: Monotonic seconds.
        share: This instance's current share of the rate.
    """

    def __init__(self, requests_per_s: float, now_s: float, share: float) -> None:
        self._rate_per_s = requests_per_s
        self._balance = INITIAL_BURST_REQUESTS * share
        self._share = share
        self._updated_s = now_s

    def can_acquire(self, now_s: float, share: float) -> bool:
        """Return whether a request may be sent now; acquires nothing."""
        self.refresh(now_s, share)
        return self._rate_per_s > 0 and self._balance >= 1.0

    def acquire(self, now_s: float, share: float) -> bool:
        """Acquire a permit for one request; return whether one was available."""
        if not self.can_acquire(now_s, share):
            return False
        self._balance -= 1.0
        return True

    def refresh(self, now_s: float, share: float) -> None:
        """Credit the permits accrued since the last call and apply the new share."""
        # The share may have changed at any time since the last call, so the smaller
        # one applies to the whole interval.
        accrued = self._rate_per_s * min(share, self._share) * (now_s - self._updated_s)
        self._updated_s = now_s
        self._share = share
        self._balance = min(self._balance + accrued, BURST_REQUESTS * share)
