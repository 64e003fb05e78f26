"""The handling of one client connection, which may carry several requests."""

import io
import socket
import threading
import uuid
from datetime import timedelta
from typing import Any

from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock
from oriolepaddle.errors import (
    ErrorCode,
    MalformedRequestError,
    OriolepaddleError,
    RefusedError,
)
from oriolepaddle.logs import log_event
from oriolepaddle.web.application import Application
from oriolepaddle.web.environ import make_environ
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.parser import RequestHead, RequestParser
from oriolepaddle.web.reader import BoundedSocketReader
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["HttpConnection"]


class HttpConnection:
    """Serves the requests of one connection, one after the other.

    Args:
        connection: The client's socket.
        address: The client's address.
        server: The server, with `application`, `limits`, `clock`, `server_address`,
            `ssl_context`, `buffers`, `malformed_requests`, `is_draining` and
            `is_closed`.

    Attributes:
        connection: The client's socket.
        idle_since_s: Monotonic time of the last response, or of the connection.
    """

    def __init__(
        self, connection: socket.socket, address: tuple[str, int], server: Any
    ) -> None:
        self._clock: Clock = server.clock
        self._application: Application = server.application
        self._server = server
        self._address = address
        self._lock = threading.Lock()
        self._held_bytes = 0
        self._is_waiting = True
        self._is_closing = False
        self._has_served = False
        self.idle_since_s = self._clock.monotonic_s()
        self.connection = connection
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = BoundedSocketReader(connection, self._clock)
        self._stream = io.BufferedReader(self._reader, STREAM_BUFFER_BYTES)

    def serve(self) -> None:
        """Serve requests until the connection must be closed."""
        try:
            while self._serve_request():
                pass
        except OSError as error:
            logger.debug("connection ended: {}", error)
        finally:
            self._stream.close()

    @property
    def _limits(self) -> ServerLimits:
        # They may change between two requests.
        return self._server.limits

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served, nor is a first request expected."""
        if not self._is_waiting:
            return False
        age_s = self._clock.monotonic_s() - self.idle_since_s
        return self._has_served or age_s > FIRST_REQUEST_GRACE.total_seconds()

    def close_if_idle(self) -> bool:
        """Close the connection if no request is being served on it."""
        with self._lock:
            if not self.is_idle:
                return False
            self._is_closing = True
        _shut_down(self.connection)
        return True

    def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        if not self._wait_for_request():
            return False
        writer = AnswerWriter(self.connection, self._limits.write_timeout)
        request_id = uuid.uuid4().hex
        try:
            request = self._read_request_or_log(writer)
            request_id = request.environ["oriolepaddle.request_id"]
            self._application.handle(request, writer)
        except OriolepaddleError as error:
            self._respond_with_error(writer, error, request_id)
        except HTTPException as error:
            wrapped = MalformedRequestError(error.description or str(error))
            self._respond_with_error(writer, wrapped, request_id)
        except OSError:
            raise
        except Exception as error:  # noqa: BLE001 - an error must not stop the server
            logger.opt(exception=error).error("request {} failed", request_id)
            wrapped = OriolepaddleError("internal error of the gateway")
            self._respond_with_error(writer, wrapped, request_id)
        finally:
            writer.abort()
            self._server.buffers.release(self._held_bytes)
            self._held_bytes = 0
        return writer.keep_alive and writer.is_finished

    def _wait_for_request(self) -> bool:
        self._is_waiting = True
        self.idle_since_s = self._clock.monotonic_s()
        limits = self._limits
        self._reader.set_limits(
            limits.idle_timeout, limits.max_header_bytes, ErrorCode.HEADER_TOO_LARGE
        )
        try:
            is_open = bool(self._stream.peek(1))
        except MalformedRequestError:
            return False
        with self._lock:
            # A request that crosses the close is not served: its answer would be lost.
            if self._is_closing:
                return False
            self._is_waiting = False
            self._has_served = True
        return is_open and not self._server.is_closed

    def _read_request_or_log(self, writer: AnswerWriter) -> Request:
        try:
            return self._read_request(writer)
        except RefusedError as error:
            self._server.malformed_requests += isinstance(error, MalformedRequestError)
            log_event(
                "request_not_read",
                client=self._address[0],
                reason=error.code.code,
                detail=error.message,
            )
            raise

    def _read_request(self, writer: AnswerWriter) -> Request:
        limits = self._limits
        self._reader.set_limits(
            limits.header_timeout, limits.max_header_bytes, ErrorCode.HEADER_TOO_LARGE
        )
        parser = RequestParser(self._stream)
        head = parser.read_head(limits.max_header_bytes)
        writer.keep_alive = head.is_kept_alive and not self._server.is_draining
        writer.is_head = head.method == "HEAD"
        writer.is_chunked_allowed = head.version == "1.1"
        if [item.lower() for item in head.values("expect")] == ["100-continue"]:
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._reader.set_limits(
            limits.body_timeout,
            limits.max_body_bytes + FRAMING_ALLOWANCE_BYTES,
            ErrorCode.BODY_TOO_LARGE,
        )
        body = parser.read_body(head, limits.max_body_bytes, self._reserve)
        return self._make_request(head, body)

    def _reserve(self, count: int) -> None:
        if not self._server.buffers.acquire(count, self._held_bytes):
            raise RefusedError(
                "no memory is left for the body of the request",
                code=ErrorCode.OVERLOADED,
                retry_after=MEMORY_RETRY_AFTER,
            )
        self._held_bytes += count

    def _make_request(self, head: RequestHead, body: bytes) -> Request:
        server = self._server
        environ = make_environ(
            head, body, self._address, server.server_address, server.ssl_context
        )
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if not _is_request_id(request_id):
            request_id = uuid.uuid4().hex
        environ["oriolepaddle.request_id"] = request_id
        return Request(environ)

    def _respond_with_error(
        self, writer: AnswerWriter, error: OriolepaddleError, request_id: str
    ) -> None:
        # The rest of the request's body may be unread, so the connection can't be
        # reused.
        writer.keep_alive = False
        if not writer.is_started:
            writer.answer_error(error, request_id)
            self._linger()

    def _linger(self) -> None:
        # Closing a socket with unread data would reset the connection, possibly
        # before the client has read the response.
        self.connection.shutdown(socket.SHUT_WR)
        self.connection.settimeout(LINGER_TIMEOUT.total_seconds())
        remaining_reads = LINGER_MAX_READS
        while remaining_reads and self.connection.recv(65_536):
            remaining_reads -= 1


MEMORY_RETRY_AFTER = timedelta(seconds=1)
FIRST_REQUEST_GRACE = timedelta(seconds=1)
FRAMING_ALLOWANCE_BYTES = 65_536
"""Bytes of chunk sizes, extensions and trailers beside the body."""
STREAM_BUFFER_BYTES = 16_384
LINGER_TIMEOUT = timedelta(milliseconds=200)
LINGER_MAX_READS = 200
MAX_REQUEST_ID_LENGTH = 128


def _is_request_id(text: str) -> bool:
    is_short = 0 < len(text) <= MAX_REQUEST_ID_LENGTH
    return is_short and text.isascii() and text.replace("-", "").isalnum()


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
