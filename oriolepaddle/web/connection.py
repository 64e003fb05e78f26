"""The handling of one client connection, which may carry several requests."""

import io
import socket
import ssl
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
from oriolepaddle.web.held_request import HeldRequest
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.parser import RequestHead, RequestParser
from oriolepaddle.web.reader import BoundedSocketReader
from oriolepaddle.web.shedding import ConnectionPhase, ConnectionState
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["HttpConnection"]


class HttpConnection:
    """Serves the requests of one connection, one after the other.

    Args:
        connection: The client's socket.
        address: The client's address.
        server: The server, with `application`, `limits`, `clock`, `server_address`,
            `ssl_context`, `buffers`, `malformed_requests`, `is_draining`,
            `is_closed`, `turns` and `descriptor_slots`.

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
        self._held = HeldRequest(server.buffers, address[0])
        self._is_body_chunked = False
        self._is_waiting = True
        self._is_receiving = False
        self._is_closing = False
        self._has_served = False
        self._shed = threading.Event()
        self._writer: AnswerWriter | None = None
        self.idle_since_s = self._clock.monotonic_s()
        self.connection = connection
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = BoundedSocketReader(connection, self._clock, self._shed)
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

    def describe(self) -> ConnectionState:
        """Return what the connection is doing."""
        phase, since_s = ConnectionPhase.SERVING, self.idle_since_s
        writer = self._writer
        stalled_since_s = writer.stalled_since_s if writer else None
        if self.is_idle:
            phase = ConnectionPhase.IDLE
        elif self._is_receiving:
            phase = ConnectionPhase.RECEIVING
            # Only content is progress, and chunks have framing beside it.
            max_bytes = self._held.body_bytes if self._is_body_chunked else None
            since_s = self._reader.waiting_since_s(max_bytes)
        elif stalled_since_s is not None:
            phase, since_s = ConnectionPhase.STALLED, stalled_since_s
        return ConnectionState(self, self._address[0], phase, since_s)

    def shed(self, phase: ConnectionPhase) -> bool:
        """Close the connection, or refuse its request, if it is still in a phase."""
        if phase is ConnectionPhase.IDLE:
            return self.close_if_idle()
        with self._lock:
            if self.describe().phase is not phase:
                return False
            self._shed.set()
        # A request that isn't complete still gets a response. A TLS connection can only
        # be shut down both ways: Python would send the response in clear text.
        is_answered = phase is ConnectionPhase.RECEIVING
        is_answered = is_answered and not isinstance(self.connection, ssl.SSLSocket)
        _shut_down(self.connection, socket.SHUT_RD if is_answered else socket.SHUT_RDWR)
        return True

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
        writer = AnswerWriter(
            self.connection, self._limits.write_timeout, self._clock, self._address[0]
        )
        self._writer = writer
        request_id = uuid.uuid4().hex
        try:
            request = self._read_request_or_log(writer)
            request_id = request.environ["oriolepaddle.request_id"]
            with self._server.descriptor_slots.hold_request():
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
            self._writer = None
            self._is_receiving = False
            writer.abort()
            self._held.release()
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
            self._is_receiving = True
            self._has_served = True
        return is_open and not self._server.is_closed

    def _read_request_or_log(self, writer: AnswerWriter) -> Request:
        try:
            request = self._read_request(writer)
            with self._lock:
                self._reader.check_not_shed()
                self._is_receiving = False
            return request
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
        self._is_body_chunked = False
        self._reader.set_limits(
            limits.header_timeout, limits.max_header_bytes, ErrorCode.HEADER_TOO_LARGE
        )
        parser = RequestParser(self._stream, self._await_turn)
        head = parser.read_head(limits.max_header_bytes, self._held.reserve_header)
        writer.keep_alive = head.is_kept_alive and not self._server.is_draining
        writer.is_head = head.method == "HEAD"
        writer.is_chunked_allowed = head.version == "1.1"
        if [item.lower() for item in head.values("expect")] == ["100-continue"]:
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = self._read_body(parser, head, limits)
        return self._make_request(head, body)

    def _read_body(
        self, parser: RequestParser, head: RequestHead, limits: ServerLimits
    ) -> bytes:
        factor = ONE_BYTE_CHUNK_BYTES if head.is_chunked else 1
        self._reader.set_limits(
            limits.body_timeout,
            factor * limits.max_body_bytes + FRAMING_ALLOWANCE_BYTES,
            ErrorCode.BODY_TOO_LARGE,
        )
        if not head.is_chunked:
            return parser.read_body(
                head, limits.max_body_bytes, self._held.reserve_body
            )
        self._is_body_chunked = True
        with self._server.turns.enter(self._shed) as self._sender:
            return parser.read_body(
                head, limits.max_body_bytes, self._held.reserve_body
            )

    def _await_turn(self, chunks: int, content_bytes: int) -> None:
        self._sender.wait(chunks, content_bytes)
        self._reader.check()

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
        end_s = self._clock.monotonic_s() + LINGER_MAX_TIME.total_seconds()
        while self._clock.monotonic_s() < end_s and self.connection.recv(65_536):
            pass


ONE_BYTE_CHUNK_BYTES = 6
"""A byte of content with its framing. A body of the largest size may come in these."""
FIRST_REQUEST_GRACE = timedelta(seconds=1)
FRAMING_ALLOWANCE_BYTES = 65_536
"""Bytes of chunk sizes, extensions and trailers beside the body."""
STREAM_BUFFER_BYTES = 16_384
LINGER_TIMEOUT = timedelta(milliseconds=200)
LINGER_MAX_TIME = timedelta(seconds=2)
"""Bounds a client that goes on to send bytes one by one."""
MAX_REQUEST_ID_LENGTH = 128


def _is_request_id(text: str) -> bool:
    is_short = 0 < len(text) <= MAX_REQUEST_ID_LENGTH
    return is_short and text.isascii() and text.replace("-", "").isalnum()


def _shut_down(connection: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    try:
        connection.shutdown(how)
    except OSError:
        return
