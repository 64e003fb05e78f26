"""Decodes the chunks of an answer strictly, as RFC 9112 has them."""

import httptools

from oriolepaddle.errors import AnswerMalformedError, Outcome

__all__ = ["ChunkedBody"]

MAX_FRAMING_BYTES = 65_536
"""Longest framing without content between, such as extensions or trailers."""
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
        self._parser = httptools.HttpResponseParser(self)
        # Blanks before an extension are permitted (RFC 9112, section 7.1.1).
        self._parser.set_dangerous_leniencies(lenient_spaces_after_chunk_size=True)
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
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise _make_error(f"malformed chunks: {error}") from error
        content = b"".join(self._content)
        self._content.clear()
        self._framing_bytes = 0 if content else self._framing_bytes + len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise _make_error("the framing of the answer's chunks is too long")
        return content

    def on_body(self, content: bytes) -> None:
        """Keep content; called by the library's parser."""
        if not self.is_complete:
            self._content.append(content)

    def on_message_complete(self) -> None:
        """Record the end of the body; called by the library's parser."""
        self.is_complete = True


def _make_error(message: str) -> AnswerMalformedError:
    return AnswerMalformedError(message, outcome=Outcome.UNKNOWN)
