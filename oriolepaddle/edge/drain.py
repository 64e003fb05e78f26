"""Drain of an instance before it shuts down."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["Drain"]

ANSWER_MARGIN_S = 0.4
"""Time before the exit at which requests in flight are answered: two rounds of checks
and the sending."""


class Drain:
    """Decides which requests an instance still accepts while it shuts down.

    During a rolling restart, callers keep using the instance until they learn of
    others. If restarts overlap and the region has no other ready instance, this one
    keeps accepting the requests that are guaranteed to end before it stops. What is
    still in flight just before the exit is answered as uncertain.

    Args:
        clock: The source of time.
        refuse_after: Time in which callers learn of other instances.
        limit: Time from the stop signal to the exit of the process.
        has_ready_peer: Returns whether another instance of the region accepts
            callers.
    """

    def __init__(
        self,
        clock: Clock,
        refuse_after: timedelta,
        limit: timedelta,
        has_ready_peer: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._refuse_after_s = refuse_after.total_seconds()
        self._limit_s = limit.total_seconds()
        self._has_ready_peer = has_ready_peer
        self._started_at_s: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the instance is shutting down."""
        return self._started_at_s is not None

    def begin(self) -> None:
        """Start the drain, on the stop signal; later calls have no effect."""
        if self._started_at_s is None:
            self._started_at_s = self._clock.monotonic_s()

    def elapsed_s(self) -> float:
        """Return the seconds since the start of the drain, 0 before it."""
        started_at_s = self._started_at_s
        return 0.0 if started_at_s is None else self._clock.monotonic_s() - started_at_s

    def has_timed_out(self) -> bool:
        """Return whether the process must exit, even with requests in flight."""
        return self.elapsed_s() >= self._limit_s

    def is_ending(self) -> bool:
        """Return whether the requests in flight must be answered now.

        An answer that the outcome is unknown tells a caller more than a connection
        that is cut by the exit.
        """
        return self.is_active and self.elapsed_s() >= self._limit_s - ANSWER_MARGIN_S

    def is_refusing(self, needed_s: float, is_forwarded: bool = False) -> bool:
        """Return whether a new request is refused.

        Args:
            needed_s: The longest time that the request may take, in seconds.
            is_forwarded: Whether another instance has forwarded it, which it does
                where no instance that stays could serve it.
        """
        elapsed_s = self.elapsed_s()
        if not self.is_active or elapsed_s <= self._refuse_after_s:
            return False
        if not is_forwarded and self._has_ready_peer():
            return True
        return elapsed_s + needed_s > self._limit_s
