"""Writes one HTTP response to a client."""

import contextlib
import json
import select
import socket
import ssl
import struct
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.sockets import count_queued_bytes
from oriolepaddle.web.pace import ReadingPace

__all__ = ["AnswerWriter", "Headers", "write_error_body"]

Headers = Iterable[tuple[str, str]]
MIN_UNCOPIED_BYTES = 65_536
"""Size from which a chunk is sent without a copy, which no budget counts."""
WAIT_SLICE_MS = 250
"""Interval at which a wait for the client looks at what it has read."""


class AnswerWriter:
    """Writes the status, headers and body of one HTTP/1.1 response.

    Args:
        connection: The client's socket.
        write_timeout: The longest time without a byte that the client reads.
        clock: The clock of the client's pace.
        client: The client's address.

    Attributes:
        client: The client's address.
        is_head: Whether the request's method is HEAD, so that no body is sent.
        is_chunked_allowed: Whether the client supports HTTP/1.1.
        keep_alive: Whether the connection is reused for further requests.
    """

    def __init__(
        self,
        connection: socket.socket,
        write_timeout: timedelta,
        clock: Clock | None = None,
        client: str = "",
    ) -> None:
        self._connection = connection
        self._pace = ReadingPace(clock or SystemClock(), write_timeout)
        self.client = client
        self._write_timeout_s = write_timeout.total_seconds()
        self.is_head = False
        self.is_chunked_allowed = True
        self._is_chunked = False
        self._ends_by_close = False
        self.keep_alive = True
        self.is_started = False
        self.is_finished = False
        self.body_bytes = 0

    def start(self, status: int, headers: Headers, length: int | None = None) -> None:
        """Send the status line and headers.

        Args:
            status: The HTTP status.
            headers: The header fields, except those about the connection and the
                framing of the body.
            length: The body's length in bytes, or None if it is not known.

        Raises:
            OSError: The client disconnected or does not read.
        """
        self.is_started = True
        _set_send_timeout(self._connection, self._write_timeout_s)
        lines = [f"HTTP/1.1 {status} {_find_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        elif self.is_chunked_allowed:
            self._is_chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self._ends_by_close = True
            self.keep_alive = False
        if not self.keep_alive:
            lines.append("Connection: close")
        self._send(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises:
            OSError: The client disconnected or does not read.
        """
        if not data or self.is_head:
            return
        self.body_bytes += len(data)
        if not self._is_chunked:
            self._send(data)
        elif len(data) < MIN_UNCOPIED_BYTES:
            self._send(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._send(b"%x\r\n" % len(data))
            self._send(data)
            self._send(b"\r\n")

    def finish(self) -> None:
        """Finish the body."""
        if self._is_chunked and not self.is_head:
            self._send(b"0\r\n\r\n")
        self.is_finished = True

    def abort(self) -> None:
        """Make the connection's close show that the body is incomplete.

        Without a length or chunks the close itself ends the body, so the connection
        is reset instead.
        """
        if not self._ends_by_close or self.is_finished:
            return
        reset_on_close = struct.pack("@ii", 1, 0)
        # The client may have closed the connection already.
        with contextlib.suppress(OSError):
            self._connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close
            )

    def answer(
        self, status: int, body: bytes, content_type: str, headers: Headers = ()
    ) -> None:
        """Send a complete response."""
        self.start(status, [("Content-Type", content_type), *headers], len(body))
        self.write(body)
        self.finish()

    def answer_json(self, status: int, document: object, headers: Headers = ()) -> None:
        """Send a complete response with a JSON body."""
        body = json.dumps(document).encode()
        self.answer(status, body, "application/json", headers)

    def answer_error(self, error: OriolepaddleError, request_id: str) -> None:
        """Send a complete response that reports an error."""
        outcome = error.outcome.value.replace(" ", "-")
        headers = [("X-Request-Id", request_id), ("X-Request-Outcome", outcome)]
        if error.retry_after is not None:
            seconds = max(1, round(error.retry_after.total_seconds()))
            headers.append(("Retry-After", str(seconds)))
        body = write_error_body(error, request_id)
        self.answer(error.code.status, body, "application/json", headers)

    def is_abandoned(self) -> bool:
        """Return whether the client, or another thread, has closed the connection."""
        descriptor = self._connection.fileno()
        if descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
        events = poller.poll(0)
        if not events:
            return False
        closed = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
        return bool(events[0][1] & closed)

    @property
    def stalled_since_s(self) -> float | None:
        """Monotonic time since which a waiting response has lost no byte."""
        return self._pace.stalled_since_s

    def _send(self, data: bytes | bytearray) -> None:
        if isinstance(self._connection, ssl.SSLSocket):
            self._connection.sendall(data)
            return
        view = memoryview(data)
        while view:
            try:
                count = self._connection.send(view, socket.MSG_DONTWAIT)
            except BlockingIOError:
                self._wait_for_client()
                continue
            self._pace.record_accepted(count)
            view = view[count:]

    def _wait_for_client(self) -> None:
        poller = select.poll()
        poller.register(self._connection, select.POLLOUT)
        pace = self._pace
        pace.begin_wait(count_queued_bytes(self._connection))
        try:
            while not poller.poll(WAIT_SLICE_MS):
                pace.record_queue(count_queued_bytes(self._connection))
                if pace.remaining_s() <= 0:
                    raise TimeoutError("the client reads its response too slowly")
        finally:
            pace.end_wait()


def _set_send_timeout(connection: socket.socket, timeout_s: float) -> None:
    # A timeout set by `settimeout` would cost two system calls for each write.
    seconds = int(timeout_s)
    microseconds = int((timeout_s - seconds) * 1_000_000)
    value = struct.pack("@ll", seconds, microseconds)
    connection.settimeout(None)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


def write_error_body(error: OriolepaddleError, request_id: str) -> bytes:
    """Return the JSON document of an error, as described in `docs/errors.md`."""
    document = {
        "error": {
            "code": error.code.code,
            "message": error.message,
            "outcome": error.outcome.value,
            "request_id": request_id,
        }
    }
    if error.retry_after is not None:
        document["error"]["retry_after_s"] = error.retry_after.total_seconds()
    return json.dumps(document).encode()


def _find_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
