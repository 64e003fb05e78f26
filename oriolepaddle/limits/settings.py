"""Settings of the limiter."""

from datetime import timedelta

import attrs

__all__ = ["LimitSettings"]


@attrs.frozen
class LimitSettings:
    """Periods and bounds of the limiter; the same on all instances.

    Attributes:
        draw_timeout: The longest that a reservation waits for peers of its
            data centre.
        remote_draw_timeout: The longest that a reservation, which its data
            centre could not meet, waits for peers of others.
        call_timeout: The longest that a periodic call waits for a peer.
        loan: How long a loan of share lasts unless it is renewed.
        renew_interval: Time between two renewals of the claim with a member
            while claims or weights change.
        steady_interval: The same while nothing changes.
        pool_interval: Time between two rounds of borrowing.
        settle_interval: Time between two batches of settlements.
        forget_interval: Time between two searches for accounts to drop.
        mint_lease: How long an instance mints without a fresh list that names
            it and without an answer from every member of its data centre.
        max_list_lag: The greatest age of a list that the platform serves.
        max_list_age: How old the last reading of the list may be to be fresh;
            readers must read the list at least this often.
        max_clock_drift: The greatest relative error of an instance's clock.
        backoff: How long a peer that did not answer is left alone.
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
    def lent_s(self) -> float:
        """Seconds that a lender counts a loan for, from when it answered."""
        return self.loan.total_seconds()

    @property
    def release_s(self) -> float:
        """Seconds after which a vanished instance has surely stopped minting."""
        list_delay = 2 * (self.max_list_lag + self.max_list_age)
        quiet = self.mint_lease + list_delay + self.loan
        return quiet.total_seconds() * (1 + 3 * self.max_clock_drift)
