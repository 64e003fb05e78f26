"""A moving average that limits the influence of outliers."""

__all__ = ["MeasuredAverage"]


class MeasuredAverage:
    """An exponentially weighted average of positive samples.

    Each sample is clipped to within a factor of `MAX_RATIO` of the average, so that
    a pause of the process is not mistaken for a slow endpoint.

    Args:
        initial_value: The average before the first sample.
        weight: The weight of a new sample, from 0 to 1.
    """

    MAX_RATIO = 3.0

    def __init__(self, initial_value: float, weight: float) -> None:
        self.value = initial_value
        self._weight = weight

    def add(self, sample: float) -> None:
        """Update the average with a sample."""
        lowest = self.value / self.MAX_RATIO
        bounded = min(max(sample, lowest), self.value * self.MAX_RATIO)
        self.value += self._weight * (bounded - self.value)
