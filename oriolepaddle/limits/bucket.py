"""A token bucket whose refunds keep the bound of every window of time."""

import attrs

__all__ = ["Bucket", "BucketDebit"]


@attrs.define(eq=False)
class BucketDebit:
    """Tokens taken from a bucket that may be given back in part.

    Attributes:
        tokens: The tokens that were taken.
        headroom: The least room that the bucket has had since, in tokens. A
            refund beyond it would bring back tokens that would have
            overflowed, had they not been taken.
        debited_at_s: Monotonic time of the debit.
    """

    tokens: float
    headroom: float
    debited_at_s: float


class Bucket:
    """Tokens that accrue at a rate up to a capacity.

    The use of any window is at most the capacity plus what accrues in it,
    when each debit's used part counts at the time of the debit.

    Args:
        now_s: The monotonic time from which tokens accrue.
    """

    def __init__(self, now_s: float) -> None:
        self.balance = 0.0
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self.advanced_s = now_s
        self._open: set[BucketDebit] = set()

    @property
    def open_debits(self) -> int:
        """The number of debits that are not settled."""
        return len(self._open)

    def advance(self, now_s: float) -> None:
        """Add the tokens that have accrued until `now_s`."""
        elapsed_s = now_s - self.advanced_s
        if elapsed_s <= 0:
            return
        self.advanced_s = now_s
        accrued = self.balance + elapsed_s * self.rate_per_s
        self.balance = min(self.capacity, accrued)
        self._note_headroom()

    def resize(self, rate_per_s: float, capacity: float) -> None:
        """Set the rate and capacity; tokens beyond the capacity are lost."""
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.balance = min(self.balance, capacity)
        self._note_headroom()

    def acquire(self, tokens: float) -> BucketDebit | None:
        """Take tokens, or return None if there are too few."""
        if tokens > self.balance:
            return None
        self.balance -= tokens
        room = self.capacity - self.balance
        debit = BucketDebit(tokens, room, self.advanced_s)
        self._open.add(debit)
        return debit

    def settle(self, debit: BucketDebit, used: float) -> None:
        """Give back the unused part of a debit, once."""
        if debit not in self._open:
            return
        self._open.remove(debit)
        refund = min(debit.tokens - used, debit.headroom)
        if refund <= 0:
            return
        self.balance = min(self.capacity, self.balance + refund)
        for other in self._open:
            other.headroom -= refund
        self._note_headroom()

    def charge(self, tokens: float) -> None:
        """Count tokens that were used beyond a debit; a debt may remain."""
        self.balance -= tokens

    def remove(self, tokens: float) -> float:
        """Remove up to `tokens` for good and return what was removed."""
        removed = max(0.0, min(tokens, self.balance))
        self.balance -= removed
        return removed

    def add(self, tokens: float) -> None:
        """Add tokens that came with a loan, up to the capacity."""
        self.balance = min(self.capacity, self.balance + tokens)
        self._note_headroom()

    def forget(self, before_s: float) -> None:
        """Count the debits made before `before_s` as used in full."""
        self._open = {debit for debit in self._open if debit.debited_at_s >= before_s}

    def _note_headroom(self) -> None:
        room = self.capacity - self.balance
        for debit in self._open:
            debit.headroom = min(debit.headroom, room)
