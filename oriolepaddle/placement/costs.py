"""The costs of plain requests, learned from the runs of a service.

Answers the load of requests that look alike and occupy a slot for very different times.
"""

import math
from collections import OrderedDict

import attrs

__all__ = ["INITIAL_COST_S", "CostEstimate", "RequestCosts"]

INITIAL_COST_S = 0.08
"""Initial estimate of the time in the slot."""
SAMPLE_WEIGHT = 1 / 100
"""Smallest weight of a run in the moving averages: routes change their costs with what
callers ask for, over minutes."""
PRIOR_RUNS = 6
"""Weight of the service's mean in that of a route, and of the route's in that of a
class of sizes, in runs."""
MAX_ROUTES = 256
MAX_SIZE_CLASSES = 24
RATIO_CLASSES_PER_OCTAVE = 2
MIN_RATIO_CLASS, MAX_RATIO_CLASS = -12, 12
"""Classes of the ratio of a cost to its estimate, from 1/64 to 64."""
RATIO_VALUES = tuple(
    2 ** (number / RATIO_CLASSES_PER_OCTAVE)
    for number in range(MIN_RATIO_CLASS, MAX_RATIO_CLASS + 1)
)
MIN_CLASS_WEIGHT = 1e-3
"""Weight of ratios below which their mean says nothing."""
REFRESH_RUNS = 8
"""Runs between two computations of the means, which take about 10 us each."""
MIN_REMAINDER_FRACTION = 0.1
"""Smallest expected remainder of a run, as a fraction of its estimate."""


@attrs.frozen
class CostEstimate:
    """The expected cost of a request.

    Attributes:
        mean_s: Expected seconds in the slot at the usual pace.
        spread_s: Standard deviation of the runs that it was learned from.
    """

    mean_s: float = INITIAL_COST_S
    spread_s: float = 0.0


class RequestCosts:
    """Learns the costs of one service by route and size. Not thread-safe.

    Sizes are classed by powers of two. The mean of a class moves away from that of its
    route, and that of a route from that of the service, with the number of its runs, so
    that a size counts only where it predicts the cost.
    """

    def __init__(self) -> None:
        self._service = _Average(INITIAL_COST_S)
        self._averages: OrderedDict[tuple[str, int], _Average] = OrderedDict()
        self._ratios = _RatioHistogram()

    def estimate(self, route: str, size_bytes: int) -> CostEstimate:
        """Return the expected cost of a request."""
        mean_s = self._service.find_mean(INITIAL_COST_S)
        for key in _list_keys(route, size_bytes):
            average = self._averages.get(key)
            if average is not None:
                mean_s = average.find_mean(mean_s)
        return CostEstimate(mean_s, mean_s * self._ratios.spread)

    def record(self, route: str, size_bytes: int, cost_s: float) -> None:
        """Record the cost of a complete run, in seconds at the usual pace."""
        self._ratios.record(cost_s / self.estimate(route, size_bytes).mean_s)
        self._service.record(cost_s)
        for key in _list_keys(route, size_bytes):
            average = self._averages.get(key)
            if average is None:
                average = self._averages[key] = _Average(cost_s)
                if len(self._averages) > MAX_ROUTES * MAX_SIZE_CLASSES:
                    self._averages.popitem(last=False)
            average.record(cost_s)

    def estimate_remainder_s(self, cost_s: float, elapsed_s: float) -> float:
        """Return the expected rest of a run.

        A run that has taken longer than expected is probably one of the long ones.

        Args:
            cost_s: Its estimate when it began.
            elapsed_s: Seconds at the usual pace for which it has run.
        """
        ratio = max(0.0, elapsed_s) / cost_s
        remainder = self._ratios.find_mean_above(ratio) - ratio
        return cost_s * max(MIN_REMAINDER_FRACTION, remainder)


class _Average:
    """A moving average that begins with a prior.

    Args:
        mean_s: The first value.
    """

    def __init__(self, mean_s: float) -> None:
        self._mean_s = mean_s
        self._count = 0

    def record(self, value_s: float) -> None:
        """Record a value."""
        self._count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._count)
        self._mean_s += weight * (value_s - self._mean_s)

    def find_mean(self, prior_s: float) -> float:
        """Return the mean of the values and of some that equal the prior."""
        count = self._count
        return (self._mean_s * count + prior_s * PRIOR_RUNS) / (count + PRIOR_RUNS)


class _RatioHistogram:
    """The ratios of costs to their estimates, decayed, in logarithmic classes."""

    def __init__(self) -> None:
        classes = MAX_RATIO_CLASS - MIN_RATIO_CLASS + 1
        self._weights = [0.0] * classes
        self._weights[-MIN_RATIO_CLASS] = float(PRIOR_RUNS)
        self._means_above: list[float] = []
        self._new_weight = 1.0
        self._count = 0
        self.spread = 0.0
        self._refresh()

    def record(self, ratio: float) -> None:
        """Record a ratio."""
        # Newer ratios count more, which needs no update of the older ones.
        self._new_weight /= 1 - SAMPLE_WEIGHT
        self._weights[_find_ratio_class(ratio)] += self._new_weight
        self._count += 1
        if self._count % REFRESH_RUNS == 0:
            self._refresh()

    def find_mean_above(self, ratio: float) -> float:
        """Return the mean of the ratios above a ratio."""
        return self._means_above[_find_ratio_class(ratio)]

    def _refresh(self) -> None:
        scale = 1 / self._new_weight
        self._new_weight = 1.0
        self._weights = [weight * scale for weight in self._weights]
        total = weighted = squares = 0.0
        means = []
        for weight, value in zip(
            reversed(self._weights), reversed(RATIO_VALUES), strict=True
        ):
            total += weight
            weighted += weight * value
            squares += weight * value * value
            means.append(weighted / total if total > MIN_CLASS_WEIGHT else value)
        self._means_above = means[::-1]
        mean = weighted / total
        self.spread = math.sqrt(max(0.0, squares / total - mean * mean))


def _find_ratio_class(ratio: float) -> int:
    if ratio <= 0:
        return 0
    found = round(math.log2(ratio) * RATIO_CLASSES_PER_OCTAVE)
    return min(max(found, MIN_RATIO_CLASS), MAX_RATIO_CLASS) - MIN_RATIO_CLASS


def _list_keys(route: str, size_bytes: int) -> tuple[tuple[str, int], ...]:
    size_class = min(size_bytes.bit_length(), MAX_SIZE_CLASSES - 2)
    return (route, -1), (route, size_class)
