"""Sequence numbers: the part of an order number that tells its age at the issuer."""

from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["SequenceSource"]

MICROSECOND = timedelta(microseconds=1)


class SequenceSource:
    """Generates unique, increasing sequence numbers.

    A number is the microseconds since this object was created, or one above the
    previous number if that is higher.

    Not thread-safe; guarded by the lock of `OrderRegistry`.

    Args:
        clock: The source of time.
        lifetime: How long after its generation a sequence number is valid.
    """

    def __init__(self, clock: Clock, lifetime: timedelta) -> None:
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._lifetime_us = lifetime // MICROSECOND
        self._last_sequence = 0

    def generate(self) -> int:
        """Return a sequence number above all earlier ones."""
        self._last_sequence = max(self._last_sequence + 1, self._elapsed_us())
        return self._last_sequence

    def highest_expired(self) -> int:
        """Return the highest expired sequence number, negative while none can have.

        All numbers below it have expired too.
        """
        return self._elapsed_us() - self._lifetime_us

    def _elapsed_us(self) -> int:
        elapsed = timedelta(seconds=self._clock.monotonic_s() - self._started_s)
        return elapsed // MICROSECOND
