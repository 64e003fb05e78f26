"""One caller's connection: read a request, answer it, and again."""

import io
import socket
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
    """Serves the requests of one connection in turn.

    The parsing of requests is werkzeug's; answering differs from its handler,
    which closes each connection and cannot end an answer short of its end.

    Args:
        connection: The caller's socket.
        address: The caller's address.
        server: The server, with `application`, `limits`, `clock`,
            `is_draining` and what werkzeug's handler reads of it.
    """

    protocol_version = "HTTP/1.1"

    def __init__(self, connection: socket.socket, address: Any, server: Any) -> None:
        self._clock: Clock = server.clock
        self._limits: ServerLimits = server.limits
        self._application: Application = server.application
        self._is_waiting = True
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
        """Serve requests until the connection is to be closed."""
        self.close_connection = False
        while not self.close_connection:
            try:
                self._serve_request()
            except OSError as error:
                logger.debug("connection ended: {}", error)
                return

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or may be on its way."""
        if not self._is_waiting:
            return False
        age_s = self._clock.monotonic_s() - self.idle_since_s
        return self._has_served or age_s > FIRST_REQUEST_GRACE.total_seconds()

    def close_if_idle(self) -> bool:
        """Close the connection if no request is being served on it."""
        if not self.is_idle:
            return False
        _shut(self.connection)
        return True

    def _serve_request(self) -> None:
        if not self._await_request():
            self.close_connection = True
            return
        writer = AnswerWriter(self.connection, self._limits.write_timeout)
        request_id = uuid.uuid4().hex
        try:
            request = self._read_request(writer)
            request_id = request.environ["oriolepaddle.request_id"]
            self._application.handle(request, writer)
        except OriolepaddleError as error:
            self._answer_error(writer, error, request_id)
        except HTTPException as error:
            wrapped = MalformedRequestError(error.description or str(error))
            self._answer_error(writer, wrapped, request_id)
        except OSError:
            raise
        except Exception as error:  # noqa: BLE001 - a fault must not end the server
            logger.opt(exception=error).error("request {} failed", request_id)
            wrapped = OriolepaddleError("the gateway failed")
            self._answer_error(writer, wrapped, request_id)
        if not writer.keep_alive or not writer.is_finished:
            self.close_connection = True

    def _await_request(self) -> bool:
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
        # The stream's buffer may have taken more than the reader allows, so
        # what was parsed is counted again.
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
            raise ConnectionResetError("the caller left before its body was whole")
        return body

    def _read_chunked(self, stream: io.RawIOBase) -> bytes:
        most = self._limits.max_body_bytes
        try:
            body = stream.read(most + 1)
        except OSError as error:
            raise MalformedRequestError(f"broken chunked body: {error}") from error
        if len(body) > most:
            raise MalformedRequestError(
                f"the body is larger than {most} bytes", code=ErrorCode.BODY_TOO_LARGE
            )
        return body

    def _check_framing(self, environ: dict[str, Any]) -> None:
        length = environ.get("CONTENT_LENGTH")
        coding = environ.get("HTTP_TRANSFER_ENCODING")
        if length and coding:
            raise MalformedRequestError(
                "Content-Length and Transfer-Encoding exclude each other"
            )
        if coding and coding.strip().lower() != "chunked":
            raise MalformedRequestError("only the chunked transfer coding is known")
        if not length:
            return
        if not length.isascii() or not length.isdigit():
            raise MalformedRequestError("Content-Length must be a number")
        if int(length) > self._limits.max_body_bytes:
            raise MalformedRequestError(
                f"the body is larger than {self._limits.max_body_bytes} bytes",
                code=ErrorCode.BODY_TOO_LARGE,
            )

    def _answer_error(
        self, writer: AnswerWriter, error: OriolepaddleError, request_id: str
    ) -> None:
        # What is left of a refused request's body may be anything, so the
        # connection is not used again.
        writer.keep_alive = False
        if not writer.is_started:
            writer.answer_error(error, request_id)
            self._linger()

    def _linger(self) -> None:
        # Closing with unread bytes would reset the connection before the
        # caller has read the answer.
        self.connection.shutdown(socket.SHUT_WR)
        self.connection.settimeout(LINGER_TIMEOUT.total_seconds())
        left = LINGER_MAX_READS
        while left and self.connection.recv(65_536):
            left -= 1

    def send_error(self, code: int, *args: Any, **kwargs: Any) -> None:
        """Do nothing: `_read_request` answers what the parser refuses."""

    def log_request(self, *args: Any, **kwargs: Any) -> None:
        """Do nothing: the application logs each exchange."""

    def log_error(self, *args: Any, **kwargs: Any) -> None:
        """Do nothing: refusals are logged with their code."""


FIRST_REQUEST_GRACE = timedelta(seconds=1)
FRAMING_ALLOWANCE_BYTES = 65_536
LINGER_TIMEOUT = timedelta(milliseconds=200)
LINGER_MAX_READS = 200
MAX_REQUEST_ID_LENGTH = 128


def _is_request_id(text: str) -> bool:
    is_short = 0 < len(text) <= MAX_REQUEST_ID_LENGTH
    return is_short and text.isascii() and text.replace("-", "").isalnum()


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
