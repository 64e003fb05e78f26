"""One organisation's tokens at one instance."""

from oriolepaddle.config.model import Organisation
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.token_need import TokenNeed

__all__ = ["TokenAccount"]

DEMAND_WEIGHT = 0.3
DEMAND_INTERVAL_S = 0.25
WANTED_S = 0.8
"""Seconds of demand that an instance asks to hold: several rounds of grants."""
KEPT_S = 0.5
"""Seconds of demand that an instance keeps for itself."""


class TokenAccount:
    """What is minted here and what others gave; the limiter holds its lock.

    Args:
        organisation: The organisation.
        accrues_from_s: Monotonic time from which tokens accrue.
    """

    def __init__(self, organisation: Organisation, accrues_from_s: float) -> None:
        self.organisation = organisation
        self.minted = Bucket(accrues_from_s)
        self.granted = Bucket(accrues_from_s)
        self.demand_per_s = 0.0
        self.largest = 0.0
        self._asked = 0.0
        self._measured_s: float | None = None

    def advance(self, now_s: float, share: float) -> None:
        """Mint what has accrued and measure the demand.

        Args:
            now_s: Monotonic seconds.
            share: The part of the rate and burst that is minted here.
        """
        held = self.organisation
        rate, burst = held.rate_tokens_per_s, held.burst_tokens
        self.minted.resize(rate * share, burst * share)
        self.minted.advance(now_s)
        self.granted.resize(0.0, burst)
        if self._measured_s is None:
            self._measured_s = now_s
        elapsed_s = now_s - self._measured_s
        if elapsed_s >= DEMAND_INTERVAL_S:
            measured = self._asked / elapsed_s
            self.demand_per_s += DEMAND_WEIGHT * (measured - self.demand_per_s)
            self._asked = 0.0
            self._measured_s = now_s

    def ask(self, tokens: float) -> None:
        """Count tokens that a request needs, given or not."""
        self._asked += tokens
        self.largest = max(self.largest, tokens)

    @property
    def balance(self) -> float:
        """The tokens that are here."""
        return self.minted.balance + self.granted.balance

    def need(self) -> TokenNeed:
        """Return what can be spared and is lacked."""
        kept = self.demand_per_s * KEPT_S
        aim = self.demand_per_s * WANTED_S
        if self.demand_per_s > 0:
            aim += self.largest
        spare = max(0.0, self.balance - kept)
        return TokenNeed(int(spare), int(max(0.0, aim - self.balance)))
