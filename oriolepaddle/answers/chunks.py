"""Decodes the chunks of an answer strictly, as RFC 9112 has them."""

import re
import sys

import httptools

from oriolepaddle.errors import AnswerMalformedError, Outcome

__all__ = ["ChunkedBody"]

MAX_FRAMING_BYTES = 65_536
"""Longest framing without content between, such as extensions or trailers."""
BLANKS = re.compile(
    rb"""("(?:[^"\\]|\\.)*"?)|[ \t]*([;=])[ \t]*|[ \t]+(\r\n)|([ \t]+)"""
)
"""A quoted string, blanks to be removed (RFC 9112, section 7.1.1), or other blanks.

Each alternative takes a whole run, so that matching is linear.
"""
LINE_END = b"\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChunkedBody:
    """Decodes the chunks of one answer; trailers are checked and dropped.

    libcurl finds the end of chunks, but takes many that are not HTTP. The library's
    parser, which also parses those of requests, checks each byte of their framing.

    Attributes:
        is_complete: Whether the end of the body was received.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._content: list[bytes] = []
        self._framing_bytes = 0
        self._pending = bytearray()
        self._left_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(CHUNKED_HEAD)

    def decode(self, data: bytes) -> bytes:
        """Return the content of the next bytes.

        Bytes after the end of the body belong to no answer and are dropped.

        Raises:
            AnswerMalformedError: The chunks are malformed, or there are many bytes
                without content.
        """
        if self.is_complete:
            return b""
        self._pending += data
        while self._pending and not self.is_complete and self._take_part():
            pass
        content = b"".join(self._content)
        self._content.clear()
        self._framing_bytes = 0 if content else self._framing_bytes + len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise _make_error("the framing of the answer's chunks is too long")
        return content

    def _take_part(self) -> bool:
        """Parse the next part that is there; return whether there was one."""
        if not self._left_bytes:
            end = self._pending.find(b"\n") + 1
            if end:
                self._start_chunk(_remove_blanks(self._remove_pending(end)))
            return end > 0
        part = self._remove_pending(self._left_bytes)
        self._left_bytes -= len(part)
        self._feed(part)
        return True

    def _start_chunk(self, line: bytes) -> None:
        self._feed(line)
        size = int(line.partition(b";")[0], 16)
        # The trailers follow the last chunk, and end where the parser says so.
        self._left_bytes = size + len(LINE_END) if size else sys.maxsize

    def _remove_pending(self, count: int) -> bytes:
        part = bytes(self._pending[:count])
        del self._pending[:count]
        return part

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after the end aren't this answer's.
            if not self.is_complete:
                raise _make_error(f"malformed chunks: {error}") from error

    def on_body(self, content: bytes) -> None:
        """Keep content; called by the library's parser."""
        if not self.is_complete:
            self._content.append(content)

    def on_message_complete(self) -> None:
        """Record the end of the body; called by the library's parser."""
        self.is_complete = True


def _remove_blanks(line: bytes) -> bytes:
    has_blanks = b" " in line or b"\t" in line
    return BLANKS.sub(rb"\1\2\3\4", line) if has_blanks else line


def _make_error(message: str) -> AnswerMalformedError:
    return AnswerMalformedError(message, outcome=Outcome.UNKNOWN)
