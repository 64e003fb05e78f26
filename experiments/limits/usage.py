"""Admitted requests of the whole fleet, checked against the token bucket."""

import attrs

from oriolepaddle.config.model import Organisation
from oriolepaddle.limits.reservation import SharedReservation

__all__ = ["Use", "UseLog"]


@attrs.define
class Use:
    """One admitted request.

    Attributes:
        at_s: When it was admitted, in the time of the experiment.
        tokens: The reserved tokens or, once settled, the used tokens.
        reservation: The reservation.
        is_settled: Whether the reservation is settled.
    """

    at_s: float
    tokens: float
    reservation: SharedReservation
    is_settled: bool = False


@attrs.frozen
class _Limit:
    """The rate and burst in force from a certain use on."""

    first_use: int
    since_s: float
    rate: float
    burst: float


class UseLog:
    """Records admitted requests and compares them with one bucket for the fleet.

    Args:
        organisation: The organisation that sends the requests.
    """

    def __init__(self, organisation: Organisation) -> None:
        self.uses: list[Use] = []
        self._limits: list[_Limit] = []
        self.limit(0.0, organisation.rate_tokens_per_s, organisation.burst_tokens)

    def add(self, now_s: float, reservation: SharedReservation) -> int:
        """Record an admitted request and return its index."""
        self.uses.append(Use(now_s, reservation.tokens, reservation))
        return len(self.uses) - 1

    def settle(self, index: int, used: float) -> None:
        """Settle a request's reservation; settling again has no effect on the log."""
        use = self.uses[index]
        use.reservation.settle(used)
        if not use.is_settled:
            use.tokens = min(use.tokens, used)
            use.is_settled = True

    def limit(self, now_s: float, rate: float, burst: float) -> None:
        """Record the highest rate and burst in force at any instance from now on."""
        limit = _Limit(len(self.uses), now_s, rate, burst)
        self._limits.append(limit)

    def overshoot(self) -> float:
        """Return the most by which any time window exceeds rate x time + burst.

        A token bucket that starts full has a negative balance exactly when some
        window exceeds that.
        """
        limits = list(self._limits)
        current = limits.pop(0)
        balance, at_s, worst = current.burst, current.since_s, 0.0
        for index, use in enumerate(self.uses):
            while limits and limits[0].first_use <= index:
                changed = limits.pop(0)
                accrued = current.rate * (changed.since_s - at_s)
                balance = min(current.burst, balance + accrued)
                current, at_s = changed, changed.since_s
            balance = min(current.burst, balance + current.rate * (use.at_s - at_s))
            balance -= use.tokens
            at_s = use.at_s
            worst = max(worst, -balance)
        return worst
