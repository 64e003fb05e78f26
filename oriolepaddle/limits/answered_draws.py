"""Debits of this instance for requests that run at other instances."""

import attrs

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.bucket import BucketDebit

__all__ = ["AnsweredDraws", "DrawKey"]

SETTLED_RETENTION_S = 120.0


@attrs.frozen
class DrawKey:
    """Identifies a draw across the fleet.

    Attributes:
        instance: The drawing instance.
        incarnation: Its incarnation.
        number: The draw's number, unique within the incarnation.
    """

    instance: str
    incarnation: int
    number: int


class AnsweredDraws:
    """Records answered draws, so that each is debited and settled at most once."""

    def __init__(self) -> None:
        self._open_draws: dict[DrawKey, tuple[Account, BucketDebit]] = {}
        self._settled_at_s: dict[DrawKey, float] = {}

    def draw(self, key: DrawKey, account: Account, tokens: float) -> float:
        """Debit up to `tokens` and return how many; a repeated draw debits nothing."""
        if key in self._settled_at_s:
            return 0.0
        if key in self._open_draws:
            return self._open_draws[key][1].tokens
        granted = max(0.0, min(tokens, account.bucket.balance))
        debit = account.bucket.acquire(granted) if granted > 0 else None
        if debit is None:
            return 0.0
        self._open_draws[key] = (account, debit)
        return granted

    def settle(self, key: DrawKey, used: float, now_s: float) -> None:
        """Refund the unused part of a draw; it may arrive before the draw itself."""
        if key in self._settled_at_s:
            return
        self._settled_at_s[key] = now_s
        entry = self._open_draws.pop(key, None)
        if entry is None:
            return
        account, debit = entry
        account.advance(now_s)
        account.bucket.settle(debit, used)

    def expire(self, now_s: float, max_request_s: float) -> None:
        """Count old draws as fully used and drop old settlements."""
        self._settled_at_s = {
            key: settled_at_s
            for key, settled_at_s in self._settled_at_s.items()
            if now_s - settled_at_s < SETTLED_RETENTION_S
        }
        self._open_draws = {
            key: entry
            for key, entry in self._open_draws.items()
            if now_s - entry[1].debited_at_s < max_request_s
        }
