"""The handling of one client connection, which may carry several requests."""

import io
import socket
import threading
import uuid
from datetime import timedelta
from typing import Any

from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.serving import WSGIRequestHandler
from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, MalformedRequestError, OriolepaddleError
from oriolepaddle.web.application import Application
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.reader import BoundedSocketReader
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["HttpConnection"]


class HttpConnection(WSGIRequestHandler):
    """Serves the requests of one connection, one after the other.

    Requests are parsed by werkzeug. Responses are not written by its handler, which
    closes each connection and cannot abort a response before its end.

    Args:
        connection: The client's socket.
        address: The client's address.
        server: The server, with `application`, `limits`, `clock`, `is_draining`,
            `is_closed` and the attributes that werkzeug's handler reads.
    """

    protocol_version = "HTTP/1.1"

    def __init__(self, connection: socket.socket, address: Any, server: Any) -> None:
        self._clock: Clock = server.clock
        self._limits: ServerLimits = server.limits
        self._application: Application = server.application
        self._lock = threading.Lock()
        self._is_waiting = True
        self._is_closing = False
        self._has_served = False
        self.idle_since_s = self._clock.monotonic_s()
        super().__init__(connection, address, server)

    def setup(self) -> None:
        """Wrap the socket; called by the base class."""
        self.connection = self.request
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = BoundedSocketReader(self.connection, self._clock)
        self.rfile = io.BufferedReader(self._reader, 16_384)
        self.wfile = io.BytesIO()

    def finish(self) -> None:
        """Close the streams; called by the base class."""
        self.rfile.close()

    def handle(self) -> None:
        """Serve requests until the connection must be closed."""
        self.close_connection = False
        while not self.close_connection:
            try:
                self._serve_request()
            except OSError as error:
                logger.debug("connection ended: {}", error)
                return

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

    def _serve_request(self) -> None:
        if not self._wait_for_request():
            self.close_connection = True
            return
        writer = AnswerWriter(self.connection, self._limits.write_timeout)
        request_id = uuid.uuid4().hex
        try:
            request = self._read_request(writer)
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
        if not writer.keep_alive or not writer.is_finished:
            self.close_connection = True

    def _wait_for_request(self) -> bool:
        self._is_waiting = True
        self.idle_since_s = self._clock.monotonic_s()
        limits = self._limits
        self._reader.set_limits(
            limits.idle_timeout, limits.max_header_bytes, ErrorCode.HEADER_TOO_LARGE
        )
        try:
            is_open = bool(self.rfile.peek(1))
        except MalformedRequestError:
            return False
        with self._lock:
            # A request that crosses the close is not served: its answer would be lost.
            if self._is_closing:
                return False
            self._is_waiting = False
            self._has_served = True
        return is_open and not self.server.is_closed

    def _read_request(self, writer: AnswerWriter) -> Request:
        limits = self._limits
        self._reader.set_limits(
            limits.header_timeout, limits.max_header_bytes, ErrorCode.HEADER_TOO_LARGE
        )
        self.raw_requestline = self.rfile.readline(limits.max_header_bytes)
        if not self.parse_request():
            writer.keep_alive = False
            raise MalformedRequestError("the request line or headers are malformed")
        writer.keep_alive = not self.close_connection and not self.server.is_draining
        writer.is_head = self.command == "HEAD"
        writer.is_chunked_allowed = self.request_version >= "HTTP/1.1"
        if self.headers.get("Expect", "").lower() == "100-continue":
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._reader.set_limits(
            limits.body_timeout,
            limits.max_body_bytes + FRAMING_ALLOWANCE_BYTES,
            ErrorCode.BODY_TOO_LARGE,
        )
        return self._make_request()

    def _make_request(self) -> Request:
        self._check_header_size()
        environ = self.make_environ()
        self._check_framing(environ)
        self._read_body(environ)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if not _is_request_id(request_id):
            request_id = uuid.uuid4().hex
        environ["oriolepaddle.request_id"] = request_id
        return Request(environ)

    def _check_header_size(self) -> None:
        # The buffered stream may hold more than the reader's limit, so the size of
        # the parsed header is checked again.
        size = len(self.raw_requestline)
        size += sum(len(name) + len(value) + 4 for name, value in self.headers.items())
        if size > self._limits.max_header_bytes:
            raise MalformedRequestError(
                f"the header is larger than {self._limits.max_header_bytes} bytes",
                code=ErrorCode.HEADER_TOO_LARGE,
            )

    def _read_body(self, environ: dict[str, Any]) -> None:
        stream = environ["wsgi.input"]
        if environ.get("wsgi.input_terminated"):
            body = self._read_chunked(stream)
        else:
            body = self._read_exactly(int(environ.get("CONTENT_LENGTH") or 0))
        environ["wsgi.input"] = io.BytesIO(body)
        environ["CONTENT_LENGTH"] = str(len(body))

    def _read_exactly(self, length: int) -> bytes:
        body = self.rfile.read(length)
        if len(body) < length:
            raise ConnectionResetError(
                "the client disconnected before the end of the body"
            )
        return body

    def _read_chunked(self, stream: io.RawIOBase) -> bytes:
        max_bytes = self._limits.max_body_bytes
        try:
            body = stream.read(max_bytes + 1)
        except OSError as error:
            raise MalformedRequestError(f"invalid chunked body: {error}") from error
        if len(body) > max_bytes:
            raise MalformedRequestError(
                f"the body is larger than {max_bytes} bytes",
                code=ErrorCode.BODY_TOO_LARGE,
            )
        return body

    def _check_framing(self, environ: dict[str, Any]) -> None:
        length = environ.get("CONTENT_LENGTH")
        coding = environ.get("HTTP_TRANSFER_ENCODING")
        if length and coding:
            raise MalformedRequestError(
                "Content-Length and Transfer-Encoding are mutually exclusive"
            )
        if coding and coding.strip().lower() != "chunked":
            raise MalformedRequestError("only the chunked transfer coding is supported")
        if not length:
            return
        if not length.isascii() or not length.isdigit():
            raise MalformedRequestError("Content-Length must be a number")
        if int(length) > self._limits.max_body_bytes:
            raise MalformedRequestError(
                f"the body is larger than {self._limits.max_body_bytes} bytes",
                code=ErrorCode.BODY_TOO_LARGE,
            )

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

    def send_error(self, code: int, *args: Any, **kwargs: Any) -> None:
        """Do nothing: `_read_request` reports requests that the parser rejects."""

    def log_request(self, *args: Any, **kwargs: Any) -> None:
        """Do nothing: the application logs each request."""

    def log_error(self, *args: Any, **kwargs: Any) -> None:
        """Do nothing: errors are logged with their codes."""


FIRST_REQUEST_GRACE = timedelta(seconds=1)
FRAMING_ALLOWANCE_BYTES = 65_536
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
