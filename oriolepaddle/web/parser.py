"""Parses HTTP/1.1 requests strictly, as RFC 9112 has them.

The library's parser checks each line of a head and of a chunked body. It is fed line by
line, so that nothing beyond the request is consumed.
"""

import io
from collections.abc import Callable

import attrs
import httptools

from oriolepaddle.errors import ErrorCode, MalformedRequestError
from oriolepaddle.web.chunks import ChunkRun, find_chunks

__all__ = ["RequestHead", "RequestParser"]

MAX_FIELDS = 100
MAX_CHUNK_LINE_BYTES = 4096
"""Longest line of a chunk's size with its extensions, or of a trailer."""
MAX_CHUNK_DIGITS = 16
LINE_END = b"\r\n"
CHUNKED = "chunked"
VERSIONS = ("1.0", "1.1")


@attrs.frozen
class RequestHead:
    """The request line and header fields of a request.

    Attributes:
        method: The method.
        target: The target, as sent.
        version: The version of HTTP, `1.0` or `1.1`.
        fields: Names and values of the header fields.
        is_kept_alive: Whether the client keeps the connection open afterwards.
        size: The size of the head in bytes.
    """

    method: str
    target: str
    version: str
    fields: tuple[tuple[str, str], ...]
    is_kept_alive: bool
    size: int

    @property
    def start_line(self) -> bytes:
        """The request line."""
        return f"{self.method} {self.target} HTTP/{self.version}\r\n".encode("ascii")

    def values(self, name: str) -> list[str]:
        """Return the values of the fields with a name, given in lower case."""
        return [value for field, value in self.fields if field.lower() == name]

    @property
    def is_chunked(self) -> bool:
        """Whether the body is chunked."""
        return bool(self.values("transfer-encoding"))

    @property
    def length(self) -> int:
        """The length of a body that isn't chunked, in bytes."""
        return int((self.values("content-length") or ["0"])[0])


class RequestParser:
    """Reads one request of a connection.

    Args:
        stream: The connection's stream. After a request was read it stands at the
            first byte of the next; after an error it must not be read any more.
        await_turn: Called before chunks that follow each other are parsed, with their
            number and the size of their content; may wait.
    """

    def __init__(
        self,
        stream: io.BufferedReader,
        await_turn: Callable[[int, int], None] = lambda chunks, content_bytes: None,
    ) -> None:
        self._stream = stream
        self._await_turn = await_turn
        self._events = _ParserEvents()
        self._parser = httptools.HttpRequestParser(self._events)

    def read_head(
        self, max_bytes: int, reserve: Callable[[int], None] = lambda count: None
    ) -> RequestHead:
        """Read a request up to the end of its head.

        Args:
            max_bytes: The maximum size of the head.
            reserve: Called with the size of each line; raises an error if there is no
                memory for it.

        Raises:
            MalformedRequestError: The head is malformed or too large.
            ConnectionResetError: The client disconnected.
        """
        data = self._read_head_bytes(max_bytes, reserve)
        self._feed(data)
        events = self._events
        if not events.has_head:
            raise MalformedRequestError("the header isn't complete at its empty line")
        head = RequestHead(
            method=self._parser.get_method().decode("ascii"),
            target=_decode("target", events.target),
            version=self._parser.get_http_version(),
            fields=tuple(
                (name.decode("ascii"), _decode(name.decode("ascii"), value))
                for name, value in events.fields
            ),
            is_kept_alive=self._parser.should_keep_alive(),
            size=len(data),
        )
        _check_head(head)
        if not data.startswith(head.start_line):
            raise MalformedRequestError("the request line has excess white space")
        return head

    def read_body(
        self,
        head: RequestHead,
        max_bytes: int,
        reserve: Callable[[int], None] = lambda count: None,
    ) -> bytes:
        """Read the body of a request whose head was read.

        Args:
            head: The head.
            max_bytes: The maximum size of the body.
            reserve: Called with each number of bytes before they are read; raises an
                error if there is no memory for them.

        Raises:
            MalformedRequestError: The body is malformed or too large.
            ConnectionResetError: The client disconnected.
        """
        if head.is_chunked:
            return self._read_chunks(max_bytes, reserve)
        _check_size(head.length, max_bytes)
        reserve(head.length)
        return self._read_exactly(head.length)

    def _read_head_bytes(self, max_bytes: int, reserve: Callable[[int], None]) -> bytes:
        data = self._read_line(max_bytes, ErrorCode.HEADER_TOO_LARGE)
        if data == LINE_END:
            # Some clients send an empty line after a body.
            data = self._read_line(max_bytes, ErrorCode.HEADER_TOO_LARGE)
        line = data
        reserve(len(data))
        while line != LINE_END:
            left = max_bytes - len(data)
            line = self._read_line(left, ErrorCode.HEADER_TOO_LARGE)
            reserve(len(line))
            data += line
        return data

    def _read_chunks(self, max_bytes: int, reserve: Callable[[int], None]) -> bytes:
        body = bytearray()
        while True:
            run = find_chunks(self._stream.peek(1))
            if run.count:
                _check_size(len(body) + len(run.content), max_bytes)
                reserve(len(run.content))
                self._take_run(run)
                body += run.content
                continue
            size = self._read_chunk_size()
            if not size:
                break
            _check_size(len(body) + size, max_bytes)
            reserve(size)
            data = self._read_exactly(size + len(LINE_END))
            self._feed(data)
            body += data[:size]
        while not self._events.is_complete:
            self._feed(self._read_chunk_line())
        return bytes(body)

    def _take_run(self, run: ChunkRun) -> None:
        self._await_turn(run.count, len(run.content))
        self._feed(self._read_exactly(run.size))

    def _read_chunk_size(self) -> int:
        line = self._read_chunk_line()
        self._feed(line)
        digits = line.partition(b";")[0].strip()
        if len(digits) > MAX_CHUNK_DIGITS:
            raise MalformedRequestError("the size of a chunk has too many digits")
        return int(digits, 16)

    def _read_chunk_line(self) -> bytes:
        return self._read_line(MAX_CHUNK_LINE_BYTES, ErrorCode.MALFORMED_REQUEST)

    def _read_line(self, max_bytes: int, code_when_longer: ErrorCode) -> bytes:
        line = self._stream.readline(max(0, max_bytes) + 1)
        if len(line) > max_bytes:
            raise MalformedRequestError(
                "a line of the request is longer than the limit", code=code_when_longer
            )
        if not line.endswith(b"\n"):
            raise ConnectionResetError("the client disconnected inside a request")
        if not line.endswith(LINE_END):
            raise MalformedRequestError("a line doesn't end with CR and LF")
        return line

    def _read_exactly(self, count: int) -> bytes:
        data = self._stream.read(count)
        if len(data) < count:
            raise ConnectionResetError(
                "the client disconnected before the end of the body"
            )
        return data

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # Requests for another protocol are served in this one.
            if self._events.has_chunks:
                raise MalformedRequestError(
                    "a chunked request can't ask for another protocol"
                ) from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(f"malformed request: {error}") from error


class _ParserEvents:
    """Collects what the library's parser reports."""

    def __init__(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.is_complete = False

    @property
    def has_chunks(self) -> bool:
        """Whether a transfer coding was declared."""
        return any(name.lower() == b"transfer-encoding" for name, _ in self.fields)

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; the fields of a trailer are dropped."""
        if not self.has_head:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Record the end of the head."""
        self.has_head = True

    def on_message_complete(self) -> None:
        """Record the end of the request."""
        self.is_complete = True


def _check_head(head: RequestHead) -> None:
    if head.version not in VERSIONS:
        raise MalformedRequestError(f"HTTP/{head.version} is not supported")
    if len(head.fields) > MAX_FIELDS:
        raise MalformedRequestError(f"there are more than {MAX_FIELDS} header fields")
    if len(head.values("host")) > 1:
        raise MalformedRequestError("there is more than one Host field")
    if "#" in head.target:
        raise MalformedRequestError("the target has a fragment")
    codings = head.values("transfer-encoding")
    if not codings:
        return
    if [item.lower() for item in codings] != [CHUNKED]:
        raise MalformedRequestError("only the chunked transfer coding is supported")
    if head.version != "1.1":
        raise MalformedRequestError("HTTP/1.0 has no transfer codings")


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise MalformedRequestError(
            f"the body is larger than {max_bytes} bytes", code=ErrorCode.BODY_TOO_LARGE
        )


def _decode(name: str, value: bytes) -> str:
    try:
        return value.decode("ascii")
    except UnicodeDecodeError as error:
        raise MalformedRequestError(f"{name} has bytes beyond ASCII") from error
