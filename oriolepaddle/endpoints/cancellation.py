"""The cancellation of an attempt by another thread."""

import threading
from collections.abc import Callable

__all__ = ["Cancellation"]


class Cancellation:
    """Makes one attempt fail with an error, before it starts or while it runs.

    Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._error: Exception | None = None
        self._cancel: Callable[[Exception], None] | None = None

    def attach(self, cancel: Callable[[Exception], None]) -> None:
        """Set the function that makes the running attempt fail.

        Raises:
            Exception: The attempt was cancelled before it started.
        """
        with self._lock:
            if self._error is not None:
                raise self._error
            self._cancel = cancel

    def cancel(self, error: Exception) -> None:
        """Make the attempt fail with an error, unless it has ended."""
        with self._lock:
            self._error = self._error or error
            cancel = self._cancel
        if cancel is not None:
            cancel(error)
