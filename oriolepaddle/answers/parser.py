"""Checks answers as libcurl receives them."""

import pycurl

from oriolepaddle.answers.chunks import ChunkedBody
from oriolepaddle.answers.head import HeadParser
from oriolepaddle.errors import AnswerTruncatedError

__all__ = ["E_BROKEN_HEAD", "AnswerParser"]

E_BROKEN_HEAD = pycurl.E_FTP_WEIRD_SERVER_REPLY
"""The error of a head that libcurl rejects; pycurl has only the name it first had."""
_BODILESS_STATUSES = (204, 304)


class AnswerParser:
    """Checks the lines of the head and the bytes of the body that libcurl hands on.

    The handle must have the option `HTTP_TRANSFER_DECODING` off, as `prepare` sets it:
    libcurl accepts malformed chunks.

    Args:
        method: The method of the request.

    Attributes:
        head: The head.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self.head = HeadParser()
        self._chunks: ChunkedBody | None = None

    @staticmethod
    def prepare(curl: pycurl.Curl) -> None:
        """Set the options of a handle that the parser needs."""
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)

    def feed_line(self, line: bytes) -> None:
        """Take a line of the head, or of that of an interim answer, with its end.

        Raises:
            AnswerMalformedError: The head is malformed or too long.
        """
        self.head.feed_line(line)
        if self.head.is_complete:
            self._chunks = ChunkedBody() if self.head.is_chunked else None

    def decode(self, data: bytes) -> bytes:
        """Return the content of the next bytes of the body.

        Raises:
            AnswerMalformedError: The body is malformed.
        """
        return data if self._chunks is None else self._chunks.decode(data)

    def check_end(self) -> None:
        """Check an answer that has ended for libcurl.

        Raises:
            AnswerTruncatedError: It is not complete.
        """
        if not self.head.is_complete:
            # libcurl takes the end of the connection inside a head for its end.
            raise AnswerTruncatedError("the answer ended inside its head")
        is_cut = self._chunks is not None and not self._chunks.is_complete
        if is_cut and not self._is_bodiless():
            raise AnswerTruncatedError("the answer ended before its last chunk")

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells that of the body."""
        is_framed = self.head.is_chunked or self.head.has_length
        return not is_framed and not self._is_bodiless()

    def _is_bodiless(self) -> bool:
        return self._method == "HEAD" or self.head.status in _BODILESS_STATUSES
