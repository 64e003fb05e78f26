"""Loans of a part of an organisation's rate and burst."""

import attrs

__all__ = ["Loan"]


@attrs.define
class Loan:
    """A part that one instance mints in place of another for a while.

    Attributes:
        peer: The other instance: the borrower of a loan given, the lender of a
            loan taken.
        number: The lender's number of the loan.
        incarnation: The lender's life in which it was made.
        share: The part of the organisation's rate and burst, from 0 to 1.
        end_s: When it ends by this instance's monotonic clock.
    """

    peer: str
    number: int
    incarnation: int
    share: float
    end_s: float
