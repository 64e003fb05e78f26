"""Holding a cold endpoint to the rate that it bears."""

__all__ = ["ColdStartBucket"]

BURST = 3.0
"""Requests that all instances of a region together may send at once; a cold
endpoint bears as many beyond its rate."""
FIRST_BURST = 1.5
"""What is there of it for an endpoint that has just been heard of."""


class ColdStartBucket:
    """This instance's part of what a cold endpoint bears.

    The parts of a region's instances add up to at most one, whoever can hear
    whom. What is held is bounded by the part, too, so that all instances
    together never send more than the burst and the rate allow.

    Args:
        requests_per_s: The rate of all instances together.
        now_s: Monotonic seconds.
        share: This instance's part of it now.
    """

    def __init__(self, requests_per_s: float, now_s: float, share: float) -> None:
        self._rate = requests_per_s
        self._balance = FIRST_BURST * share
        self._share = share
        self._advanced_s = now_s

    def is_open(self, now_s: float, share: float) -> bool:
        """Return whether a request may be sent now."""
        self.renew(now_s, share)
        return self._rate > 0 and self._balance >= 1.0

    def take(self, now_s: float, share: float) -> bool:
        """Take the right to send a request now, if there is one."""
        if not self.is_open(now_s, share):
            return False
        self._balance -= 1.0
        return True

    def renew(self, now_s: float, share: float) -> None:
        """Note the instance's part of the rate now, and what has accrued of it."""
        # The part may have changed at any moment since the last call.
        grown = self._rate * min(share, self._share) * (now_s - self._advanced_s)
        self._advanced_s = now_s
        self._share = share
        self._balance = min(self._balance + grown, BURST * share)
