"""Jittered exponential backoff."""

import random
from datetime import timedelta

__all__ = ["Backoff"]


class Backoff:
    """Waits that double with each failure, drawn at random below the bound.

    The draw covers the whole range from the shortest wait to the bound, so
    that a fleet that failed together does not return together.

    Args:
        generator: Draws the waits.
        shortest: The least wait.
        longest: The greatest bound.
    """

    def __init__(
        self, generator: random.Random, shortest: timedelta, longest: timedelta
    ) -> None:
        self._generator = generator
        self._shortest_s = shortest.total_seconds()
        self._longest_s = longest.total_seconds()
        self._failures = 0

    def reset(self) -> None:
        """Begin anew after a success."""
        self._failures = 0

    def draw(self) -> timedelta:
        """Return the wait after one more failure."""
        self._failures = min(self._failures + 1, 30)
        bound_s = min(self._longest_s, self._shortest_s * 2**self._failures)
        return timedelta(seconds=self._generator.uniform(self._shortest_s, bound_s))
