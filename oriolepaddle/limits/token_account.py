"""One organisation's tokens at one instance."""

from oriolepaddle.config.model import Organisation
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.token_need import TokenNeed

__all__ = ["TokenAccount"]

DEMAND_SMOOTHING_FACTOR = 0.3
DEMAND_INTERVAL_S = 0.25
TARGET_DEMAND_S = 0.8
"""Seconds of demand that an instance requests as balance: several rounds of grants."""
RETAINED_DEMAND_S = 0.5
"""Seconds of demand that an instance retains before it grants tokens."""


class TokenAccount:
    """Buckets of minted and granted tokens; the limiter holds its lock.

    Args:
        organisation: The organisation.
        accrues_from_s: Monotonic time from which tokens accrue.
    """

    def __init__(self, organisation: Organisation, accrues_from_s: float) -> None:
        self.organisation = organisation
        self.minted = Bucket(accrues_from_s)
        self.granted = Bucket(accrues_from_s)
        self.demand_per_s = 0.0
        self.largest_request_tokens = 0.0
        self._requested_tokens = 0.0
        self._demand_measured_s: float | None = None

    def advance(self, now_s: float, share: float) -> None:
        """Accrue tokens and update the moving average of the demand.

        Args:
            now_s: The monotonic time.
            share: The fraction of the rate and burst that is minted here.
        """
        organisation = self.organisation
        rate, burst = organisation.rate_tokens_per_s, organisation.burst_tokens
        self.minted.resize(rate * share, burst * share)
        self.minted.advance(now_s)
        self.granted.resize(0.0, burst)
        if self._demand_measured_s is None:
            self._demand_measured_s = now_s
        elapsed_s = now_s - self._demand_measured_s
        if elapsed_s >= DEMAND_INTERVAL_S:
            measured = self._requested_tokens / elapsed_s
            self.demand_per_s += DEMAND_SMOOTHING_FACTOR * (
                measured - self.demand_per_s
            )
            self._requested_tokens = 0.0
            self._demand_measured_s = now_s

    def record_demand(self, tokens: float) -> None:
        """Count the tokens that a request needs, whether or not it is admitted."""
        self._requested_tokens += tokens
        self.largest_request_tokens = max(self.largest_request_tokens, tokens)

    @property
    def balance(self) -> float:
        """The tokens available at this instance."""
        return self.minted.balance + self.granted.balance

    def need(self) -> TokenNeed:
        """Return the spare and wanted tokens."""
        retained = self.demand_per_s * RETAINED_DEMAND_S
        target_balance = self.demand_per_s * TARGET_DEMAND_S
        if self.demand_per_s > 0:
            target_balance += self.largest_request_tokens
        spare = max(0.0, self.balance - retained)
        return TokenNeed(int(spare), int(max(0.0, target_balance - self.balance)))
