"""One organisation's tokens at one instance."""

import attrs

from oriolepaddle.config.model import Organisation
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.demand import Demand
from oriolepaddle.limits.loan import Loan

__all__ = ["Account"]


class Account:
    """A token bucket scaled by this instance's share, including loans.

    The share is the base share, minus what is lent, plus what is borrowed. Not
    thread-safe: the limiter holds its lock.

    Args:
        organisation: The organisation.
        since_s: Monotonic time from which tokens of the base share accrue.
        drift: Maximum relative error of the clock rate.
    """

    def __init__(
        self, organisation: Organisation, since_s: float, drift: float
    ) -> None:
        self.organisation = organisation
        self.demand = Demand(since_s)
        self.bucket = Bucket(since_s)
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[tuple[str, int, int], Loan] = {}
        self.requested_at_s: float | None = None
        self.lender_queried_at_s: dict[str, float] = {}
        self.draw_backoff_until_s = since_s
        self._base_share = 0.0
        self._lendable_base_share = 0.0
        self._reserved_room = 0.0
        self._drift = drift

    @property
    def share(self) -> float:
        """The fraction of the organisation's rate and burst minted here."""
        lent = sum(loan.share for loan in self.lent.values())
        borrowed = sum(loan.share for loan in self.borrowed.values())
        return max(0.0, self._base_share + borrowed - lent)

    @property
    def overlent_share(self) -> float:
        """The lent share in excess of the lendable share."""
        lent = sum(loan.share for loan in self.lent.values())
        borrowed = sum(loan.share for loan in self.borrowed.values())
        return max(0.0, lent - self._lendable_base_share - borrowed)

    @property
    def is_idle(self) -> bool:
        """Whether the account has no state that a new one would lack."""
        is_full = self.bucket.balance >= self.bucket.capacity
        return (
            is_full
            and not self.lent
            and not self.borrowed
            and not self.bucket.open_debits
            and self._reserved_room == 0
        )

    def is_draw_backing_off(self, now_s: float) -> bool:
        """Return whether draws are suspended after a recent failed draw."""
        return now_s < self.draw_backoff_until_s

    def is_requested(self, now_s: float, period_s: float) -> bool:
        """Return whether another instance requested a loan within `period_s`."""
        return (
            self.requested_at_s is not None and now_s - self.requested_at_s < period_s
        )

    def advance(self, now_s: float) -> None:
        """Accrue tokens until `now_s`, and end each loan at its end time."""
        while True:
            end_times_s = [loan.end_s for loan in self._loans() if loan.end_s <= now_s]
            if not end_times_s:
                break
            self._end_loans(min(end_times_s))
        self.bucket.advance(now_s)

    def set_base_share(self, base_share: float, lendable_base_share: float) -> None:
        """Set the base share and its lendable part; call `advance` before."""
        self._base_share = base_share
        self._lendable_base_share = lendable_base_share
        self._resize()

    def set_organisation(self, organisation: Organisation) -> None:
        """Set the rate and burst; call `advance` before."""
        if organisation != self.organisation:
            self.organisation = organisation
            self._resize()

    def lend(self, loan: Loan) -> float:
        """Lend share and return the tokens transferred with the loan."""
        share = self.share
        part = min(1.0, loan.share / share) if share > 0 else 0.0
        tokens = self.bucket.remove(self.bucket.balance * part)
        self.lent[loan.number] = loan
        self._resize()
        return tokens

    def borrow(self, loan: Loan, tokens: float) -> None:
        """Add a borrowed loan and the tokens transferred with it."""
        self.borrowed[(loan.peer, loan.incarnation, loan.number)] = loan
        self._resize()
        self.bucket.add(tokens)

    def lendable(self, now_s: float) -> float:
        """Return the share that local requests don't need."""
        retained = max(
            self._retained_share(now_s), self._base_share - self._lendable_base_share
        )
        return max(0.0, self.share - retained)

    def lendable_remotely(self, now_s: float, fraction: float) -> float:
        """Return the share that may be lent to another data centre.

        A reserve stays here, so that this data centre can serve requests during a
        network partition. Without a partition, peers can draw tokens from it for
        single requests.

        Args:
            now_s: The monotonic time.
            fraction: The data centre's fraction of each rate.
        """
        reserve = RESERVED_FRACTION * fraction
        minimum = MIN_RETAINED_REQUESTS * self.demand.request_tokens
        if reserve * self.organisation.burst_tokens < minimum:
            reserve = 0.0
        return min(self.lendable(now_s), max(0.0, self.share - reserve))

    def _retained_share(self, now_s: float) -> float:
        rate = self.organisation.rate_tokens_per_s
        demand_per_s = self.demand.rate_per_s(now_s)
        if rate <= 0 or demand_per_s <= 0:
            return 0.0
        retained = RETAINED_DEMAND_FACTOR * demand_per_s / rate
        minimum = MIN_RETAINED_REQUESTS * self.demand.request_tokens
        if retained * self.organisation.burst_tokens < minimum:
            # Such a share cannot hold one request; requests draw from the borrower.
            return 0.0
        return retained

    def should_recall(self, now_s: float) -> bool:
        """Return whether local requests need the lent share."""
        if not self.demand.has_unmet_request(now_s, SHORTAGE_WINDOW_S):
            return False
        rate = self.organisation.rate_tokens_per_s
        return self.demand.rate_per_s(now_s) > self.share * rate

    def first_borrowed_end_s(self) -> float | None:
        """Return the earliest end of a borrowed loan, or None without loans."""
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
        """Extend a borrowed loan with `share` left; call `advance` before."""
        loan.end_s = max(loan.end_s, end_s)
        loan.share = min(loan.share, share)
        self._resize()

    def accept_return(self, number: int, tokens: float) -> None:
        """End a lent loan early and add the returned tokens."""
        del self.lent[number]
        self._resize()
        self.bucket.add(tokens)

    def return_loan(self, loan: Loan) -> float | None:
        """End a borrowed loan early and return its tokens; None if it is lent on."""
        share = self.share
        key = (loan.peer, loan.incarnation, loan.number)
        if key not in self.borrowed or self.overlent_share > 0 or share < loan.share:
            return None
        tokens = self.bucket.remove(self.bucket.balance * loan.share / share)
        del self.borrowed[key]
        self._resize()
        return tokens

    @property
    def free_capacity(self) -> float:
        """The number of tokens that still fit into the bucket."""
        return self.bucket.capacity - self.bucket.balance

    def reserve_room(self, tokens: float) -> None:
        """Reserve capacity for requested tokens; a negative value releases it.

        Until the tokens arrive or the request fails, nothing accrues into the
        reserved capacity, so that tokens in transit never overfill the bucket.
        """
        self._reserved_room += tokens
        self._resize()

    def split_loan(self, loan: Loan, share: float, number: int) -> None:
        """Split a loan: `share` can be renewed and the rest runs out."""
        self.lent[number] = attrs.evolve(loan, number=number, share=loan.share - share)
        loan.share = share

    def _resize(self) -> None:
        share = self.share
        rate = self.organisation.rate_tokens_per_s / (1 + self._drift)
        capacity = self.organisation.burst_tokens * share
        self.bucket.resize(rate * share, max(0.0, capacity - self._reserved_room))


RETAINED_DEMAND_FACTOR = 1.2
RESERVED_FRACTION = 0.05
MIN_RETAINED_REQUESTS = 2.0
SHORTAGE_WINDOW_S = 5.0
