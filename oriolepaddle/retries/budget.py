"""Token buckets by name, filled by successes and bounded in number."""

from collections import OrderedDict

import attrs

__all__ = ["RetryBudget"]


@attrs.define
class _Bucket:
    tokens: float
    seen_deposits: float


class RetryBudget:
    """Buckets of retry tokens by name; the least recently used is forgotten.

    A bucket is filled by its own deposits and by a share of all deposits made
    to the budget. The share is worked out when the bucket is next used, so a
    deposit costs the same for any number of names. A forgotten bucket starts
    full when it is used again; the holder's bound over all names is kept by a
    bucket that is never forgotten.

    Not thread-safe: the policy holds its lock.

    Args:
        cap: The most tokens in a bucket, and the tokens of a new one.
        share: The part of all deposits that flows to each bucket.
        max_names: The most buckets held.
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
        """Add `tokens` to the bucket of `name` and its share to all others."""
        bucket = self._refill(name)
        self._deposits += tokens
        bucket.seen_deposits = self._deposits
        bucket.tokens = min(self._cap, bucket.tokens + tokens)

    def can_withdraw(self, name: str, tokens: float) -> bool:
        """Return whether the bucket of `name` holds `tokens`."""
        return self._refill(name).tokens >= tokens

    def withdraw(self, name: str, tokens: float) -> None:
        """Take `tokens`, after `can_withdraw`."""
        self._refill(name).tokens -= tokens

    def _refill(self, name: str) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(self._cap, self._deposits)
            if len(self._buckets) > self._max_names:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(name)
        gained = self._share * (self._deposits - bucket.seen_deposits)
        bucket.tokens = min(self._cap, bucket.tokens + gained)
        bucket.seen_deposits = self._deposits
        return bucket
