"""Reads from a socket within limits of time and size."""

import io
import socket
import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, MalformedRequestError, RefusedError

__all__ = ["BoundedSocketReader"]


MIN_BYTES_PER_S = 16_384
"""Rate from which a client doesn't count as one that waits. It is no limit: it orders
the connections that are closed when there are too many."""
SHED_RETRY_AFTER = timedelta(seconds=1)


class BoundedSocketReader(io.RawIOBase):
    """A raw stream over a socket with a deadline and a maximum number of bytes.

    Args:
        connection: The client's socket.
        clock: The clock of the deadline.
        shed: Set when the request is to be refused as others need the connection.
    """

    def __init__(
        self, connection: socket.socket, clock: Clock, shed: threading.Event
    ) -> None:
        super().__init__()
        self._shed = shed
        self._started_s = clock.monotonic_s()
        self._last_byte_s = self._started_s
        self._received_bytes = 0
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
        self._started_s = self._clock.monotonic_s()
        self._received_bytes = 0
        self._deadline_s = self._started_s + timeout.total_seconds()
        self._bytes_left = max_bytes
        self._code_when_full = code

    def waiting_since_s(self, max_content_bytes: int | None = None) -> float:
        """Return the monotonic time since which the client is behind.

        Args:
            max_content_bytes: The bytes of content among those that were received,
                as framing isn't progress; None for all.
        """
        content_bytes = self._received_bytes
        if max_content_bytes is not None:
            content_bytes = min(content_bytes, max_content_bytes)
        return min(self._last_byte_s, self._started_s + content_bytes / MIN_BYTES_PER_S)

    def check_not_shed(self) -> None:
        """Check that the connection isn't needed for others.

        Raises:
            RefusedError: It is.
        """
        if self._shed.is_set():
            raise RefusedError(
                "the request was not received before others needed its connection",
                code=ErrorCode.REQUEST_TIMEOUT,
                retry_after=SHED_RETRY_AFTER,
            )

    def check(self) -> None:
        """Check that the connection isn't needed and the deadline hasn't passed.

        Raises:
            MalformedRequestError: The deadline has passed.
            RefusedError: Others need the connection.
        """
        self.check_not_shed()
        if self._clock.monotonic_s() >= self._deadline_s:
            raise _make_timeout_error()

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int:
        """Read into `buffer`; see `io.RawIOBase.readinto`.

        Raises:
            MalformedRequestError: The deadline has passed or the maximum number of
                bytes is exceeded.
            RefusedError: Others need the connection.
        """
        self.check_not_shed()
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
        self.check_not_shed()
        self._last_byte_s = self._clock.monotonic_s()
        self._received_bytes += count
        self._bytes_left -= count
        return count


def _make_timeout_error() -> MalformedRequestError:
    return MalformedRequestError(
        "the request was not received in time", code=ErrorCode.REQUEST_TIMEOUT
    )
