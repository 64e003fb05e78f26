"""Exponential backoff with jitter."""

import random
from datetime import timedelta

__all__ = ["Backoff"]


class Backoff:
    """Random delays with an upper bound that doubles with each failure.

    A delay is uniformly distributed over the whole range from the shortest delay to the
    bound, so that instances that failed at the same time do not retry at the same time.

    Args:
        generator: Draws the delays.
        shortest: The shortest delay.
        longest: The longest delay.
    """

    def __init__(
        self, generator: random.Random, shortest: timedelta, longest: timedelta
    ) -> None:
        self._generator = generator
        self._shortest_s = shortest.total_seconds()
        self._longest_s = longest.total_seconds()
        self._failures = 0

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._failures = 0

    def draw(self) -> timedelta:
        """Return the delay after one more failure."""
        self._failures = min(self._failures + 1, 30)
        bound_s = min(self._longest_s, self._shortest_s * 2**self._failures)
        return timedelta(seconds=self._generator.uniform(self._shortest_s, bound_s))
