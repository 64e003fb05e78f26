"""Measured averages that resist outliers."""

__all__ = ["MeasuredAverage"]


class MeasuredAverage:
    """An exponentially weighted average of positive samples.

    One sample counts at most as `MAX_RATIO` times the average, or as its
    inverse: a pause of the process must not pass for a slow endpoint.

    Args:
        first_guess: The average before the first sample.
        weight: The part of each new sample, from 0 to 1.
    """

    MAX_RATIO = 3.0

    def __init__(self, first_guess: float, weight: float) -> None:
        self.value = first_guess
        self._weight = weight

    def add(self, sample: float) -> None:
        """Take in a sample."""
        lowest = self.value / self.MAX_RATIO
        bounded = min(max(sample, lowest), self.value * self.MAX_RATIO)
        self.value += self._weight * (bounded - self.value)
