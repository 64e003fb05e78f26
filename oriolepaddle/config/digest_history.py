"""The digests that the configuration had lately."""

import threading
from collections import deque

from oriolepaddle.clock import Clock
from oriolepaddle.config.state import ConfigState

__all__ = ["DigestHistory"]

HISTORY_S = 6.0


class DigestHistory:
    """Tells whether a peer's digest is one that this instance had lately.

    Heartbeats tell digests late: while tickets spread, a peer that is in step
    tells one of a moment ago. Thread-safe.

    Args:
        clock: The time.
        state: The configuration.
    """

    def __init__(self, clock: Clock, state: ConfigState) -> None:
        self._clock = clock
        self._state = state
        self._lock = threading.Lock()
        self._current = state.digest
        self._past: deque[tuple[int, float]] = deque()

    def note(self) -> None:
        """Note the digest that the configuration has now."""
        digest = self._state.digest
        now_s = self._clock.monotonic_s()
        with self._lock:
            if digest != self._current:
                self._past.append((self._current, now_s))
                self._current = digest
            while self._past and self._past[0][1] < now_s - HISTORY_S:
                self._past.popleft()

    def is_current(self, digest: int) -> bool:
        """Return whether a digest is the present one."""
        return digest == self._current

    def is_recent(self, digest: int) -> bool:
        """Return whether a digest is the present one or was lately."""
        with self._lock:
            return digest == self._current or any(
                digest == past for past, _ in self._past
            )
