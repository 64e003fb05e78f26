"""Rejected tickets, snapshots and entries, recorded for operators."""

import threading
from collections import Counter, deque
from datetime import datetime

import attrs

from oriolepaddle.clock import Clock

__all__ = ["MAX_REJECTIONS", "Rejection", "Rejections"]

MAX_REJECTIONS = 100
MAX_MESSAGE_LENGTH = 300


@attrs.frozen
class Rejection:
    """One rejected value.

    Attributes:
        source: The platform's key, or the peer that sent it.
        reason: A short label, by which rejections are counted.
        message: The error message.
        at: When it was rejected, in UTC.
    """

    source: str
    reason: str
    message: str
    at: datetime


class Rejections:
    """The latest rejections, and their number by reason. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: deque[Rejection] = deque(maxlen=MAX_REJECTIONS)
        self._counts: Counter[str] = Counter()

    def add(self, source: str, reason: str, message: str) -> None:
        """Count a rejection and store it."""
        text = message[:MAX_MESSAGE_LENGTH]
        rejection = Rejection(source, reason, text, self._clock.now())
        with self._lock:
            self._counts[reason] += 1
            self._recent.append(rejection)

    def recent(self) -> tuple[Rejection, ...]:
        """Return the latest rejections, at most `MAX_REJECTIONS`."""
        with self._lock:
            return tuple(self._recent)

    def counts(self) -> dict[str, int]:
        """Return the number of rejections by reason."""
        with self._lock:
            return dict(self._counts)
