"""Whether a client reads its response fast enough."""

from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["ReadingPace"]

MIN_BYTES_PER_S = 1024
"""Minimum rate while the response waits for the client. Six hundred clients that read
at once on the slowest link, of 5 Mbit/s, still get this."""
MAX_WAIT = timedelta(seconds=120)
"""Longest time that a response waits for its client in all; 8 MB take 13 s on a link of
5 Mbit/s."""


class ReadingPace:
    """Counts the time for which a response waits for its client, and its bytes.

    Args:
        clock: The source of time.
        timeout: The longest time without a byte, and the first allowance.
    """

    def __init__(self, clock: Clock, timeout: timedelta) -> None:
        self._clock = clock
        self._timeout_s = timeout.total_seconds()
        self._read_bytes = 0
        self._waited_s = 0.0
        self._waiting_since_s: float | None = None
        self._progress_s = 0.0
        self._queued_bytes = 0

    @property
    def stalled_since_s(self) -> float | None:
        """Monotonic time of the last byte, or None if the response isn't waiting."""
        return None if self._waiting_since_s is None else self._progress_s

    def record_accepted(self, count: int) -> None:
        """Record bytes that the kernel has accepted."""
        self._read_bytes += count

    def begin_wait(self, queued_bytes: int) -> None:
        """Record that no more bytes are accepted."""
        self._progress_s = self._clock.monotonic_s()
        self._queued_bytes = queued_bytes
        self._waiting_since_s = self._progress_s

    def record_queue(self, queued_bytes: int) -> None:
        """Record the size of the kernel's queue during a wait."""
        if queued_bytes < self._queued_bytes:
            self._progress_s = self._clock.monotonic_s()
        self._queued_bytes = queued_bytes

    def end_wait(self) -> None:
        """Record that bytes are accepted again."""
        self._waited_s = self._find_waited_s()
        self._waiting_since_s = None

    def remaining_s(self) -> float:
        """Return the time after which the client reads too slowly."""
        without_byte_s = self._clock.monotonic_s() - self._progress_s
        allowed_s = min(
            self._timeout_s + self._read_bytes / MIN_BYTES_PER_S,
            MAX_WAIT.total_seconds(),
        )
        return min(self._timeout_s - without_byte_s, allowed_s - self._find_waited_s())

    def _find_waited_s(self) -> float:
        if self._waiting_since_s is None:
            return self._waited_s
        return self._waited_s + self._clock.monotonic_s() - self._waiting_since_s
