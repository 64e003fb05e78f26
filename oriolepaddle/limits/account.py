"""One organisation's tokens at one instance."""

import attrs

from oriolepaddle.config.model import Organisation
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.demand import Demand
from oriolepaddle.limits.loan import Loan

__all__ = ["Account"]


class Account:
    """A bucket sized by the own share, what is lent and what is borrowed.

    Not thread-safe: the limiter holds its lock.

    Args:
        organisation: The organisation.
        since_s: Monotonic time from which the own part has accrued unused.
        drift: The greatest relative error of the clock.
    """

    def __init__(
        self, organisation: Organisation, since_s: float, drift: float
    ) -> None:
        self.organisation = organisation
        self.demand = Demand(since_s)
        self.bucket = Bucket(since_s)
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[tuple[str, int, int], Loan] = {}
        self.asked_s: float | None = None
        self.asked_lenders_s: dict[str, float] = {}
        self.dry_until_s = since_s
        self._base = 0.0
        self._lent_base = 0.0
        self._room = 0.0
        self._drift = drift

    @property
    def share(self) -> float:
        """The part of the organisation's rate and burst minted here."""
        lent = sum(loan.share for loan in self.lent.values())
        borrowed = sum(loan.share for loan in self.borrowed.values())
        return max(0.0, self._base + borrowed - lent)

    @property
    def overlent(self) -> float:
        """The part lent beyond what may stay lent."""
        lent = sum(loan.share for loan in self.lent.values())
        borrowed = sum(loan.share for loan in self.borrowed.values())
        return max(0.0, lent - self._lent_base - borrowed)

    @property
    def is_idle(self) -> bool:
        """Whether dropping the account would lose nothing."""
        is_full = self.bucket.balance >= self.bucket.capacity
        return (
            is_full
            and not self.lent
            and not self.borrowed
            and not self.bucket.open_debits
            and self._room == 0
        )

    def is_dry(self, now_s: float) -> bool:
        """Return whether a draw failed so lately that another is not tried."""
        return now_s < self.dry_until_s

    def is_asked(self, now_s: float, period_s: float) -> bool:
        """Return whether another instance asked for it within `period_s`."""
        return self.asked_s is not None and now_s - self.asked_s < period_s

    def advance(self, now_s: float) -> None:
        """Mint until `now_s`, ending each loan at its own time."""
        while True:
            ends = [loan.end_s for loan in self._loans() if loan.end_s <= now_s]
            if not ends:
                break
            self._end_loans(min(ends))
        self.bucket.advance(now_s)

    def set_base(self, base: float, lent_base: float) -> None:
        """Set the own part and how much of it may be lent; `advance` before."""
        self._base = base
        self._lent_base = lent_base
        self._resize()

    def set_organisation(self, organisation: Organisation) -> None:
        """Set the rate and burst; call `advance` before."""
        if organisation != self.organisation:
            self.organisation = organisation
            self._resize()

    def lend(self, loan: Loan) -> float:
        """Give a part away for a while and return the tokens that go with it."""
        share = self.share
        part = min(1.0, loan.share / share) if share > 0 else 0.0
        tokens = self.bucket.remove(self.bucket.balance * part)
        self.lent[loan.number] = loan
        self._resize()
        return tokens

    def borrow(self, loan: Loan, tokens: float) -> None:
        """Take a part in, with tokens."""
        self.borrowed[(loan.peer, loan.incarnation, loan.number)] = loan
        self._resize()
        self.bucket.add(tokens)

    def lendable(self, now_s: float) -> float:
        """Return the part of the organisation that is not needed here."""
        kept = max(self._kept(now_s), self._base - self._lent_base)
        return max(0.0, self.share - kept)

    def lendable_far(self, now_s: float, fraction: float) -> float:
        """Return the part that may go to another data centre.

        A reserve stays, so that a cut between the data centres finds some here;
        until then others may draw on it for single requests.

        Args:
            now_s: The monotonic time.
            fraction: The part of each rate that is this data centre's.
        """
        reserve = RESERVED_PART * fraction
        least = KEPT_REQUESTS * self.demand.request_tokens
        if reserve * self.organisation.burst_tokens < least:
            reserve = 0.0
        return min(self.lendable(now_s), max(0.0, self.share - reserve))

    def _kept(self, now_s: float) -> float:
        rate = self.organisation.rate_tokens_per_s
        asked = self.demand.rate_per_s(now_s)
        if rate <= 0 or asked <= 0:
            return 0.0
        kept = KEPT_DEMAND * asked / rate
        least = KEPT_REQUESTS * self.demand.request_tokens
        if kept * self.organisation.burst_tokens < least:
            # Such a part cannot hold one request; the borrower serves them.
            return 0.0
        return kept

    def wants_back(self, now_s: float) -> bool:
        """Return whether requests here need what is lent."""
        if not self.demand.is_short(now_s, SHORT_S):
            return False
        rate = self.organisation.rate_tokens_per_s
        return self.demand.rate_per_s(now_s) > self.share * rate

    def shortest_borrowed_s(self) -> float | None:
        """Return when the first loan taken ends, or None without any."""
        return min((loan.end_s for loan in self.borrowed.values()), default=None)

    def _loans(self) -> list[Loan]:
        return [*self.lent.values(), *self.borrowed.values()]

    def _end_loans(self, now_s: float) -> None:
        self.bucket.advance(now_s)
        self.lent = {
            number: loan for number, loan in self.lent.items() if loan.end_s > now_s
        }
        self.borrowed = {
            key: loan for key, loan in self.borrowed.items() if loan.end_s > now_s
        }
        self._resize()

    def renew(self, loan: Loan, share: float, end_s: float) -> None:
        """Prolong a loan taken, of which `share` is left; `advance` before."""
        loan.end_s = max(loan.end_s, end_s)
        loan.share = min(loan.share, share)
        self._resize()

    def take_back(self, number: int, tokens: float) -> None:
        """End a loan given early; its tokens come back."""
        del self.lent[number]
        self._resize()
        self.bucket.add(tokens)

    def give_back(self, loan: Loan) -> float | None:
        """End a loan taken early and return its tokens; None if it is lent on."""
        share = self.share
        key = (loan.peer, loan.incarnation, loan.number)
        if key not in self.borrowed or self.overlent > 0 or share < loan.share:
            return None
        tokens = self.bucket.remove(self.bucket.balance * loan.share / share)
        del self.borrowed[key]
        self._resize()
        return tokens

    @property
    def missing(self) -> float:
        """The tokens for which there is room."""
        return self.bucket.capacity - self.bucket.balance

    def keep_room(self, tokens: float) -> None:
        """Keep room for tokens that are asked for, or with less than 0 free it.

        Until they arrive or are given up, nothing accrues into that room, so
        that tokens on their way never come on top of a full bucket.
        """
        self._room += tokens
        self._resize()

    def split_loan(self, loan: Loan, share: float, number: int) -> None:
        """Let a part of a loan run out and keep `share` of it to be renewed."""
        self.lent[number] = attrs.evolve(loan, number=number, share=loan.share - share)
        loan.share = share

    def _resize(self) -> None:
        share = self.share
        rate = self.organisation.rate_tokens_per_s / (1 + self._drift)
        capacity = self.organisation.burst_tokens * share
        self.bucket.resize(rate * share, max(0.0, capacity - self._room))


KEPT_DEMAND = 1.2
RESERVED_PART = 0.05
KEPT_REQUESTS = 2.0
SHORT_S = 5.0
