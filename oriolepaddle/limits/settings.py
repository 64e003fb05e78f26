"""Settings of the limiter."""

from datetime import timedelta

import attrs

__all__ = ["LimitSettings"]


@attrs.frozen
class LimitSettings:
    """Intervals and bounds of the limiter; all instances need the same values.

    Attributes:
        draw_timeout: Maximum time that a reservation waits for peers of its
            data centre.
        remote_draw_timeout: Maximum time that a reservation waits for peers of
            other data centres, if its own has too few tokens.
        call_timeout: Timeout of a periodic call to a peer.
        loan: Duration of a loan of share, from its start or last renewal.
        renew_interval: Interval of claim renewals with each member while claims
            or weights change.
        steady_interval: Interval of claim renewals while nothing changes.
        pool_interval: Interval of borrowing rounds.
        settle_interval: Interval between batches of settlements.
        forget_interval: Interval at which idle accounts are dropped.
        mint_lease: How long an instance mints without a fresh list that lists
            it and without a reply from every member of its data centre.
        max_list_lag: Maximum age of a list when the platform serves it.
        max_list_age: Maximum time since a fresh list was read; readers must read
            the list at least this often.
        max_clock_drift: Maximum relative error of an instance's clock rate.
        backoff: How long a peer isn't called after a failed call.
        active_for: How long an organisation counts as active after a request.
    """

    draw_timeout: timedelta = timedelta(milliseconds=50)
    remote_draw_timeout: timedelta = timedelta(milliseconds=250)
    call_timeout: timedelta = timedelta(milliseconds=500)
    loan: timedelta = timedelta(seconds=20)
    renew_interval: timedelta = timedelta(seconds=2)
    steady_interval: timedelta = timedelta(seconds=30)
    pool_interval: timedelta = timedelta(seconds=1)
    settle_interval: timedelta = timedelta(seconds=3)
    forget_interval: timedelta = timedelta(seconds=10)
    mint_lease: timedelta = timedelta(minutes=15)
    max_list_lag: timedelta = timedelta(minutes=1)
    max_list_age: timedelta = timedelta(minutes=2)
    max_clock_drift: float = 0.001
    backoff: timedelta = timedelta(seconds=5)
    active_for: timedelta = timedelta(minutes=5)

    @property
    def loan_s(self) -> float:
        """Duration of a loan in seconds, counted by the lender from its reply."""
        return self.loan.total_seconds()

    @property
    def release_s(self) -> float:
        """Seconds until an absent instance is guaranteed to have stopped minting."""
        list_delay = 2 * (self.max_list_lag + self.max_list_age)
        total_wait = self.mint_lease + list_delay + self.loan
        return total_wait.total_seconds() * (1 + 3 * self.max_clock_drift)
