"""Refusing requests while an instance stops."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["Drain"]


class Drain:
    """Decides which requests an instance that stops still takes.

    The load that this answers: a restart of one instance after the other. Callers
    keep using the instance until they learn of others. Where its region has no
    ready instance left, as restarts overlap, it goes on to take what surely ends
    before it does.

    Args:
        clock: The time.
        refuse_after: Time for callers to learn of other instances.
        limit: Time from the signal to the end of the process.
        has_neighbour: Whether another instance of the region takes callers.
    """

    def __init__(
        self,
        clock: Clock,
        refuse_after: timedelta,
        limit: timedelta,
        has_neighbour: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._refuse_after_s = refuse_after.total_seconds()
        self._limit_s = limit.total_seconds()
        self._has_neighbour = has_neighbour
        self._since_s: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the instance stops."""
        return self._since_s is not None

    def begin(self) -> None:
        """Note the signal to stop."""
        if self._since_s is None:
            self._since_s = self._clock.monotonic_s()

    def elapsed_s(self) -> float:
        """Return the seconds since the signal to stop, 0 before it."""
        since_s = self._since_s
        return 0.0 if since_s is None else self._clock.monotonic_s() - since_s

    def has_timed_out(self) -> bool:
        """Return whether the process is to end, whatever is in flight."""
        return self.elapsed_s() >= self._limit_s

    def is_refusing(self, needed_s: float) -> bool:
        """Return whether a new request is to go elsewhere.

        Args:
            needed_s: Seconds that the request may last.
        """
        elapsed_s = self.elapsed_s()
        if not self.is_active or elapsed_s <= self._refuse_after_s:
            return False
        if self._has_neighbour():
            return True
        return elapsed_s + needed_s > self._limit_s
