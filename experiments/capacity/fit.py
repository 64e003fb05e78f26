"""Linear fit of measured costs."""

from collections.abc import Sequence

import attrs
import numpy as np

__all__ = ["Line", "fit_line"]


@attrs.frozen
class Line:
    """A cost that is linear in a size.

    Attributes:
        intercept: The cost at size 0.
        slope: The additional cost for each unit of the size.
    """

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Line:
    """Return the least-squares line through the costs.

    Args:
        sizes: Shape (n,), n at least 2.
        costs: Shape (n,), all in the same unit.
    """
    slope, intercept = np.polyfit(sizes, costs, 1)
    return Line(float(intercept), float(slope))
