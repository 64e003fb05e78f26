"""Named token buckets for retries, filled by successful requests."""

from collections import OrderedDict

import attrs

__all__ = ["RetryBudget"]


@attrs.define
class _Bucket:
    tokens: float
    credited_deposits: float


class RetryBudget:
    """Token buckets by name; the least recently used are evicted.

    A bucket is filled by its own deposits and by a share of the deposits to all other
    buckets. The share is computed when the bucket is next used, so that the cost of a
    deposit doesn't depend on the number of names. An evicted bucket is full when it is
    used again, so eviction can add tokens; `RetryPolicy` therefore limits the total
    over all names by a second budget with a single bucket, which is never evicted.

    Not thread-safe; guarded by the lock of `RetryPolicy`.

    Args:
        cap: Maximum tokens of a bucket, and the initial tokens of a new one.
        share: Fraction of a deposit that is added to each of the other buckets.
        max_names: Maximum number of buckets in memory.
    """

    def __init__(self, cap: float, share: float, max_names: int) -> None:
        self._cap = cap
        self._share = share
        self._max_names = max_names
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()
        self._deposits = 0.0

    def __len__(self) -> int:
        return len(self._buckets)

    def deposit(self, name: str, tokens: float) -> None:
        """Add `tokens` to the bucket of `name`.

        The others are credited with a share of them on their next use.
        """
        bucket = self._get_refilled(name)
        self._deposits += tokens
        bucket.credited_deposits = self._deposits
        bucket.tokens = min(self._cap, bucket.tokens + tokens)

    def can_withdraw(self, name: str, tokens: float) -> bool:
        """Return whether the bucket of `name` has at least `tokens`."""
        return self._get_refilled(name).tokens >= tokens

    def withdraw(self, name: str, tokens: float) -> None:
        """Withdraw `tokens`; call `can_withdraw` before."""
        self._get_refilled(name).tokens -= tokens

    def _get_refilled(self, name: str) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(self._cap, self._deposits)
            if len(self._buckets) > self._max_names:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(name)
        gained = self._share * (self._deposits - bucket.credited_deposits)
        bucket.tokens = min(self._cap, bucket.tokens + gained)
        bucket.credited_deposits = self._deposits
        return bucket
