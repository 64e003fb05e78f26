"""Sequence numbers that order the order numbers of one issuer by age."""

from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["SequenceSource"]

MICROSECOND = timedelta(microseconds=1)


class SequenceSource:
    """Generates unique, increasing sequences from microseconds since the start.

    A sequence is one above the previous one if the clock has not advanced.

    Not thread-safe: the registry's lock guards it.

    Args:
        clock: The source of time.
        lifetime: How long after its generation a sequence is valid.
    """

    def __init__(self, clock: Clock, lifetime: timedelta) -> None:
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._lifetime_us = lifetime // MICROSECOND
        self._last_sequence = 0

    def draw(self) -> int:
        """Return a sequence above all earlier ones."""
        self._last_sequence = max(self._last_sequence + 1, self._elapsed_us())
        return self._last_sequence

    def horizon(self) -> int:
        """Return the highest expired sequence; all below it have expired too."""
        return self._elapsed_us() - self._lifetime_us

    def _elapsed_us(self) -> int:
        elapsed = timedelta(seconds=self._clock.monotonic_s() - self._started_s)
        return elapsed // MICROSECOND
