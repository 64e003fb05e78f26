"""Counts the requests in flight of an instance."""

import contextlib
import threading
from collections.abc import Iterator
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError

__all__ = ["Activity"]


class Activity:
    """Counts the requests in flight and refuses new ones while draining.

    Args:
        clock: The clock of the timeout in `wait`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle = threading.Event()
        self._idle.set()
        self._count = 0
        self._is_draining = False

    @property
    def count(self) -> int:
        """The number of requests in flight."""
        return self._count

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._is_draining

    @contextlib.contextmanager
    def enter(self) -> Iterator[None]:
        """Count a request as in flight for the duration of the context.

        Raises:
            RefusedError: The instance is draining.
        """
        with self._lock:
            if self._is_draining:
                raise RefusedError(
                    "this instance is shutting down", code=ErrorCode.DRAINING
                )
            self._count += 1
            self._idle.clear()
        try:
            yield
        finally:
            with self._lock:
                self._count -= 1
                if self._count == 0:
                    self._idle.set()

    def drain(self) -> None:
        """Refuse new requests from now on."""
        with self._lock:
            self._is_draining = True

    def wait(self, timeout: timedelta) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        return self._clock.wait(self._idle, timeout)
