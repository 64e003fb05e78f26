"""Reads from a socket within limits of time and size."""

import io
import socket
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, MalformedRequestError

__all__ = ["BoundedSocketReader"]


class BoundedSocketReader(io.RawIOBase):
    """A raw stream over a socket with a deadline and a maximum number of bytes.

    Args:
        connection: The client's socket.
        clock: The clock of the deadline.
    """

    def __init__(self, connection: socket.socket, clock: Clock) -> None:
        super().__init__()
        self._connection = connection
        self._clock = clock
        self._deadline_s = float("inf")
        self._bytes_left = 0
        self._code_when_full = ErrorCode.HEADER_TOO_LARGE

    def set_limits(self, timeout: timedelta, max_bytes: int, code: ErrorCode) -> None:
        """Set the limits of the data that is read next.

        Args:
            timeout: The longest time until all of it is received.
            max_bytes: The maximum number of bytes to read from the socket.
            code: The error code if there are more.
        """
        self._deadline_s = self._clock.monotonic_s() + timeout.total_seconds()
        self._bytes_left = max_bytes
        self._code_when_full = code

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int:
        """Read into `buffer`; see `io.RawIOBase.readinto`.

        Raises:
            MalformedRequestError: The deadline has passed or the maximum number of
                bytes is exceeded.
        """
        if self._bytes_left <= 0:
            raise MalformedRequestError(
                "the request is larger than the limit", code=self._code_when_full
            )
        left_s = self._deadline_s - self._clock.monotonic_s()
        if left_s <= 0:
            raise _make_timeout_error()
        self._connection.settimeout(left_s)
        view = memoryview(buffer)[: self._bytes_left]
        try:
            count = self._connection.recv_into(view)
        except TimeoutError as error:
            raise _make_timeout_error() from error
        self._bytes_left -= count
        return count


def _make_timeout_error() -> MalformedRequestError:
    return MalformedRequestError(
        "the request was not received in time", code=ErrorCode.REQUEST_TIMEOUT
    )
