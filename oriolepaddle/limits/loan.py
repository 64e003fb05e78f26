"""Loans of an organisation's rate and burst."""

import attrs

__all__ = ["Loan"]


@attrs.define
class Loan:
    """A share that the borrower mints in place of the lender until the loan ends.

    Attributes:
        peer: The other instance: the borrower of a lent loan, the lender of a
            borrowed loan.
        number: The loan's number, assigned by the lender.
        incarnation: The lender's incarnation that made the loan.
        share: The lent fraction of the organisation's rate and burst.
        end_s: When the loan ends, by this instance's monotonic clock.
    """

    peer: str
    number: int
    incarnation: int
    share: float
    end_s: float
