"""A token bucket whose refunds never exceed its bound in any time window."""

import attrs

__all__ = ["Bucket", "BucketDebit"]


@attrs.define(eq=False)
class BucketDebit:
    """Tokens acquired from a bucket, of which a part may be refunded.

    Attributes:
        tokens: The number of acquired tokens.
        headroom: Minimum free capacity of the bucket since the debit, in tokens. A
            larger refund would restore tokens that would have overflowed if
            they had not been acquired.
        debited_at_s: Monotonic time of the debit.
    """

    tokens: float
    headroom: float
    debited_at_s: float


class Bucket:
    """Tokens that accrue at a rate up to a capacity.

    The use in any time window is at most the capacity plus what accrues in it, if
    the used part of each debit counts at the time of the debit.

    Args:
        now_s: The monotonic time from which tokens accrue.
    """

    def __init__(self, now_s: float) -> None:
        self.balance = 0.0
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self.advanced_to_s = now_s
        self._unsettled: set[BucketDebit] = set()

    @property
    def open_debits(self) -> int:
        """The number of unsettled debits."""
        return len(self._unsettled)

    def advance(self, now_s: float) -> None:
        """Add the tokens that have accrued until `now_s`."""
        elapsed_s = now_s - self.advanced_to_s
        if elapsed_s <= 0:
            return
        self.advanced_to_s = now_s
        accrued = self.balance + elapsed_s * self.rate_per_s
        self.balance = min(self.capacity, accrued)
        self._update_headroom()

    def resize(self, rate_per_s: float, capacity: float) -> None:
        """Set the rate and capacity; tokens beyond the capacity are lost."""
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.balance = min(self.balance, capacity)
        self._update_headroom()

    def acquire(self, tokens: float) -> BucketDebit | None:
        """Acquire tokens, or return None if there are too few."""
        if tokens > self.balance:
            return None
        self.balance -= tokens
        room = self.capacity - self.balance
        debit = BucketDebit(tokens, room, self.advanced_to_s)
        self._unsettled.add(debit)
        return debit

    def settle(self, debit: BucketDebit, used: float) -> None:
        """Refund the unused part of a debit, at most once."""
        if debit not in self._unsettled:
            return
        self._unsettled.remove(debit)
        refund = min(debit.tokens - used, debit.headroom)
        if refund <= 0:
            return
        self.balance = min(self.capacity, self.balance + refund)
        for other in self._unsettled:
            other.headroom -= refund
        self._update_headroom()

    def charge(self, tokens: float) -> None:
        """Charge tokens used beyond a debit; the balance may become negative."""
        self.balance -= tokens

    def remove(self, tokens: float) -> float:
        """Remove up to `tokens` without a refund and return the removed number."""
        removed = max(0.0, min(tokens, self.balance))
        self.balance -= removed
        return removed

    def add(self, tokens: float) -> None:
        """Add transferred tokens, up to the capacity."""
        self.balance = min(self.capacity, self.balance + tokens)
        self._update_headroom()

    def expire_debits(self, before_s: float) -> None:
        """Count the debits made before `before_s` as fully used."""
        self._unsettled = {
            debit for debit in self._unsettled if debit.debited_at_s >= before_s
        }

    def _update_headroom(self) -> None:
        room = self.capacity - self.balance
        for debit in self._unsettled:
            debit.headroom = min(debit.headroom, room)
