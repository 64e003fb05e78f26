"""Tokens debited here for requests that run at other instances."""

import attrs

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.bucket import BucketDebit

__all__ = ["DrawKey", "Drawings"]

KEPT_SETTLED_S = 120.0


@attrs.frozen
class DrawKey:
    """Identifies a draw over the fleet.

    Attributes:
        instance: The instance that draws.
        incarnation: Its life.
        number: Its number of the draw.
    """

    instance: str
    incarnation: int
    number: int


class Drawings:
    """The draws that were answered, so that each acts and settles once."""

    def __init__(self) -> None:
        self._open: dict[DrawKey, tuple[Account, BucketDebit]] = {}
        self._settled_s: dict[DrawKey, float] = {}

    def draw(self, key: DrawKey, account: Account, tokens: float) -> float:
        """Debit up to `tokens` and return how many; a repeat debits nothing."""
        if key in self._settled_s:
            return 0.0
        if key in self._open:
            return self._open[key][1].tokens
        granted = max(0.0, min(tokens, account.bucket.balance))
        debit = account.bucket.acquire(granted) if granted > 0 else None
        if debit is None:
            return 0.0
        self._open[key] = (account, debit)
        return granted

    def settle(self, key: DrawKey, used: float, now_s: float) -> None:
        """Give the unused part of a draw back, also before the draw arrives."""
        if key in self._settled_s:
            return
        self._settled_s[key] = now_s
        held = self._open.pop(key, None)
        if held is None:
            return
        account, debit = held
        account.advance(now_s)
        account.bucket.settle(debit, used)

    def forget(self, now_s: float, max_request_s: float) -> None:
        """Count old draws as used in full and drop old settlements."""
        self._settled_s = {
            key: at_s
            for key, at_s in self._settled_s.items()
            if now_s - at_s < KEPT_SETTLED_S
        }
        self._open = {
            key: held
            for key, held in self._open.items()
            if now_s - held[1].debited_at_s < max_request_s
        }
