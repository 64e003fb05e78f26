"""Sequences that order the numbers of one issuer by their age."""

from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["SequenceSource"]

MICROSECOND = timedelta(microseconds=1)


class SequenceSource:
    """Draws unique sequences: microseconds since the start, or one more.

    Not thread-safe: the registry's lock guards it.

    Args:
        clock: The source of time.
        lifetime: How long a drawn sequence counts as young.
    """

    def __init__(self, clock: Clock, lifetime: timedelta) -> None:
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._lifetime = lifetime // MICROSECOND
        self._last = 0

    def draw(self) -> int:
        """Return a sequence that is higher than all before."""
        self._last = max(self._last + 1, self._now())
        return self._last

    def horizon(self) -> int:
        """Return the sequence at and below which all have expired."""
        return self._now() - self._lifetime

    def _now(self) -> int:
        elapsed = timedelta(seconds=self._clock.monotonic_s() - self._started_s)
        return elapsed // MICROSECOND
