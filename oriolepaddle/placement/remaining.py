"""The work that is left at a plain endpoint whose pace is known."""

import math

import attrs

from oriolepaddle.placement.costs import CostEstimate, RequestCosts

__all__ = ["RemainingWork", "estimate_wait_s"]

SPEED_WEIGHT = 0.1
MIN_SPEED, MAX_SPEED = 1 / 6, 6.0
"""Range of the factor by which an endpoint's learned time corrects its pace."""
OWN_VARIANCE = 0.1
"""Variance of the number of running requests beside that of the peers' reports."""


@attrs.frozen
class _Run:
    cost_s: float
    begins_s: float


class RemainingWork:
    """The runs of this instance at one endpoint, and how its times compare.

    Not thread-safe; protected by the placer's lock.

    Args:
        costs: The costs of its service's requests.

    Attributes:
        speed: The factor of the endpoint's times to the expected ones, learned.
    """

    def __init__(self, costs: RequestCosts) -> None:
        self.costs = costs
        self.speed = 1.0
        self._runs: dict[int, _Run] = {}

    def begin(self, number: int, cost_s: float, begins_s: float) -> None:
        """Record a run.

        Args:
            number: Its number.
            cost_s: Its expected cost.
            begins_s: Monotonic time at which it is expected to get its slot.
        """
        self._runs[number] = _Run(cost_s, begins_s)

    def end(self, number: int) -> None:
        """Remove a run."""
        self._runs.pop(number, None)

    def own_s(self, now_s: float, factor: float) -> float:
        """Return the expected rest of this instance's runs, at the usual pace.

        Args:
            now_s: Monotonic seconds.
            factor: The endpoint's pace factor of late.
        """
        return sum(
            self.costs.estimate_remainder_s(run.cost_s, (now_s - run.begins_s) / factor)
            for run in self._runs.values()
        )

    def record(self, cost: CostEstimate, cost_s: float) -> None:
        """Compare the cost of a complete run with its estimate."""
        sample = min(max(MIN_SPEED, cost_s / cost.mean_s), MAX_SPEED)
        self.speed *= (sample / self.speed) ** SPEED_WEIGHT


def estimate_wait_s(
    running: int, others: int, remaining_s: float, cost_s: float, slots: int
) -> float:
    """Return the expected wait for a slot, at the usual pace.

    Peers' reports are some tenths of a second old. The number of their requests is
    taken as normally distributed around what they report, so that the wait grows
    smoothly as an endpoint fills up.

    Args:
        running: Requests known to run or wait there, those of peers included.
        others: The requests of peers among them.
        remaining_s: The expected rest of all of them.
        cost_s: The expected cost of a request.
        slots: The slots of the endpoint.
    """
    mean_s = remaining_s / running if running else cost_s
    deviation = math.sqrt(OWN_VARIANCE + others)
    excess = running + 1 - slots
    relative = excess / deviation
    if relative < -4:
        return 0.0
    density = math.exp(-relative * relative / 2) / math.sqrt(2 * math.pi)
    probability = (1 + math.erf(relative / math.sqrt(2))) / 2
    return (deviation * density + excess * probability) * mean_s / slots
