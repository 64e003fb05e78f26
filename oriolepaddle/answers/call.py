"""Calls whose answers are short and held in memory."""

import attrs
import pycurl

from oriolepaddle.answers.parser import E_BROKEN_HEAD, AnswerParser
from oriolepaddle.buffers import ShortBody
from oriolepaddle.errors import AnswerMalformedError, Outcome

__all__ = ["ShortAnswer", "perform_call"]

_ABORT_TRANSFER = -1


@attrs.frozen
class ShortAnswer:
    """A complete answer.

    Attributes:
        status: The HTTP status.
        fields: Names and values of the header fields.
        body: The body.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


def perform_call(curl: pycurl.Curl, body: ShortBody) -> ShortAnswer:
    """Run a call on a handle and return its answer.

    Args:
        curl: A handle with the options of a request other than `HEAD`. After an error
            it must be closed.
        body: Takes the body.

    Raises:
        AnswerMalformedError: The answer is not HTTP, or its head is too long.
        AnswerTruncatedError: The answer ended before it was complete.
        pycurl.error: There was no answer, or its body is too long.
    """
    call = _Call(body)
    AnswerParser.prepare(curl)
    curl.setopt(pycurl.HEADERFUNCTION, call.take_line)
    curl.setopt(pycurl.WRITEFUNCTION, call.take_data)
    try:
        curl.perform()
    except pycurl.error as error:
        if call.error is not None:
            raise call.error from error
        if error.args[0] == E_BROKEN_HEAD:
            raise AnswerMalformedError(
                error.args[1], outcome=Outcome.UNKNOWN
            ) from error
        raise
    call.parser.check_end()
    head = call.parser.head
    return ShortAnswer(head.status, head.fields, body.data)


class _Call:
    """Takes the answer of one call from libcurl.

    Attributes:
        parser: Checks the answer.
        error: What ended the call, if it was the answer.
    """

    def __init__(self, body: ShortBody) -> None:
        self.parser = AnswerParser("GET")
        self.error: AnswerMalformedError | None = None
        self._body = body

    def take_line(self, line: bytes) -> int:
        """Check a line of a head; a `HEADERFUNCTION` of libcurl."""
        try:
            self.parser.feed_line(line)
        except AnswerMalformedError as error:
            self.error = error
            return _ABORT_TRANSFER
        return len(line)

    def take_data(self, data: bytes) -> int:
        """Append the content of a part of the body; a `WRITEFUNCTION` of libcurl."""
        try:
            content = self.parser.decode(data)
        except AnswerMalformedError as error:
            self.error = error
            return _ABORT_TRANSFER
        taken = self._body.write(content)
        return len(data) if taken == len(content) else _ABORT_TRANSFER
