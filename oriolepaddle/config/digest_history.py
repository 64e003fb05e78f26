"""The recent digests of the configuration."""

import threading
from collections import deque

from oriolepaddle.clock import Clock
from oriolepaddle.config.state import ConfigState

__all__ = ["DigestHistory"]

MAX_DIGEST_AGE_S = 6.0


class DigestHistory:
    """Checks whether a digest of a peer is a recent one of this instance.

    Digests in heartbeats lag behind: while tickets spread, a peer with the same
    configuration may still report a slightly older digest. Thread-safe.

    Args:
        clock: Source of the time.
        state: The configuration.
    """

    def __init__(self, clock: Clock, state: ConfigState) -> None:
        self._clock = clock
        self._state = state
        self._lock = threading.Lock()
        self._current = state.digest
        self._past_digests: deque[tuple[int, float]] = deque()

    def record(self) -> None:
        """Record the current digest of the configuration."""
        digest = self._state.digest
        now_s = self._clock.monotonic_s()
        with self._lock:
            if digest != self._current:
                self._past_digests.append((self._current, now_s))
                self._current = digest
            while (
                self._past_digests
                and self._past_digests[0][1] < now_s - MAX_DIGEST_AGE_S
            ):
                self._past_digests.popleft()

    def is_current(self, digest: int) -> bool:
        """Return whether a digest is the current one."""
        return digest == self._current

    def is_recent(self, digest: int) -> bool:
        """Return whether a digest is the current one or a recent one."""
        with self._lock:
            return digest == self._current or any(
                digest == past_digest for past_digest, _ in self._past_digests
            )
