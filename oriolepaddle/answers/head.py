"""Parses heads of answers strictly, as RFC 9112 has them.

libcurl finds the end of an answer, but takes many bytes for HTTP that are none, and
then an end or a field that the sender did not mean. The library's parser, which also
parses requests, checks every line that libcurl hands on.
"""

import httptools

from oriolepaddle.errors import AnswerMalformedError, Outcome

__all__ = ["HeadParser"]

MAX_HEAD_BYTES = 65_536
MAX_HEAD_LINES = 512
"""Bounds of the head of an answer, with its interim answers."""
MAX_CONTENT_LENGTH = 2**63 - 1
"""libcurl ignores a greater one and reads up to the end of the connection."""
VERSIONS = ("1.0", "1.1")
CHUNKED = "chunked"
CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
BLANKS = " \t"
LINE_END = b"\r\n"


class HeadParser:
    """Checks the head of one answer, and those of its interim answers before it.

    Attributes:
        status: The status of the last complete head, 0 before it.
        fields: Its header fields.
        is_complete: Whether the last line was the end of a head.
    """

    def __init__(self) -> None:
        self.status = 0
        self.fields: tuple[tuple[str, str], ...] = ()
        self.is_complete = False
        self._lines: list[bytes] = []
        self._head_bytes = 0
        self._head_lines = 0

    @property
    def is_at_start(self) -> bool:
        """Whether the next line is a status line."""
        return not self._lines

    @property
    def is_chunked(self) -> bool:
        """Whether the body is chunked."""
        return self._has_field(TRANSFER_ENCODING)

    @property
    def has_length(self) -> bool:
        """Whether the length of the body is declared."""
        return self._has_field(CONTENT_LENGTH)

    def feed_line(self, line: bytes) -> None:
        """Take a line of a head, with its end.

        Raises:
            AnswerMalformedError: The head is malformed or too long.
        """
        self._head_bytes += len(line)
        self._head_lines += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._head_lines > MAX_HEAD_LINES:
            raise _make_error("the answer's head is too long")
        line = _normalise_end(line)
        self._lines.append(line)
        self.is_complete = line == LINE_END
        if self.is_complete:
            lines, self._lines = self._lines, []
            self._parse_head(_merge_lengths(lines))

    def _parse_head(self, data: bytes) -> None:
        events = _ParserEvents()
        parser = httptools.HttpResponseParser(events)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise _make_error(f"malformed answer: {error}") from error
        if not events.has_head:
            raise _make_error("the answer's head isn't complete at its empty line")
        self.status = parser.get_status_code()
        self.fields = tuple(events.fields)
        _check_framing(parser.get_http_version(), self.fields)

    def _has_field(self, lower_name: str) -> bool:
        return any(name.lower() == lower_name for name, _ in self.fields)


class _ParserEvents:
    """Collects what the library's parser reports."""

    def __init__(self) -> None:
        self.fields: list[tuple[str, str]] = []
        self.has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field."""
        text = value.decode("latin-1").strip(BLANKS)
        self.fields.append((name.decode("ascii"), text))

    def on_headers_complete(self) -> None:
        """Record the end of the head."""
        self.has_head = True


def _normalise_end(line: bytes) -> bytes:
    # A lone line feed may end a line of a head (RFC 9112, section 2.2).
    is_bare = line.endswith(b"\n") and not line.endswith(LINE_END)
    return line[:-1] + LINE_END if is_bare else line


def _merge_lengths(lines: list[bytes]) -> bytes:
    """Return a head with equal lengths merged (RFC 9112, section 6.3)."""
    lengths: set[bytes] = set()
    merged: list[bytes] = []
    for line in lines:
        name, _, value = line.partition(b":")
        if name.lower() != CONTENT_LENGTH.encode():
            merged.append(line)
            continue
        items = {
            item.strip(BLANKS.encode()) for item in value[: -len(LINE_END)].split(b",")
        }
        if not lengths:
            merged.append(b"%b: %b\r\n" % (name, b",".join(items)))
        lengths |= items
    if len(lengths) > 1:
        raise _make_error("the answer has lengths that differ")
    return b"".join(merged)


def _check_framing(version: str, fields: tuple[tuple[str, str], ...]) -> None:
    if version not in VERSIONS:
        raise _make_error(f"HTTP/{version} is not supported")
    codings = []
    for name, value in fields:
        if name.lower() == CONTENT_LENGTH and int(value) > MAX_CONTENT_LENGTH:
            raise _make_error("the answer's length is too great")
        if name.lower() == TRANSFER_ENCODING:
            codings.append(value.lower())
    if not codings:
        return
    if codings != [CHUNKED]:
        raise _make_error("only the chunked transfer coding is supported")
    if version != "1.1":
        raise _make_error("HTTP/1.0 has no transfer codings")


def _make_error(message: str) -> AnswerMalformedError:
    return AnswerMalformedError(message, outcome=Outcome.UNKNOWN)
