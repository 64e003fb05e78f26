"""An answer that is checked, resumed and marked when it is cut short."""

from collections.abc import Callable, Iterator

from loguru import logger

from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointError,
    OriolepaddleError,
)
from oriolepaddle.streams._body import Body, EventBody, RawBody
from oriolepaddle.streams.check import AnswerCheck
from oriolepaddle.streams.limits import StreamLimits
from oriolepaddle.streams.marker import make_truncation_event
from oriolepaddle.streams.source import ChunkSource, ChunkStream, StreamHead

__all__ = ["ResumableStream"]


class ResumableStream:
    """One answer on its way to the caller; used by one thread.

    Args:
        request_id: The id that was sent with the request.
        source: Opens the answer and its rest.
        limits: Bounds of the stream.
        may_resume: Whether the caller may still be served: its deadline, its
            key, this instance's state.

    Attributes:
        resumes: How often the answer was resumed.
        failure: Why the answer is not whole, or None.
    """

    def __init__(
        self,
        request_id: str,
        source: ChunkSource,
        limits: StreamLimits | None = None,
        may_resume: Callable[[], bool] = lambda: True,
    ) -> None:
        self._request_id = request_id
        self._source = source
        self._limits = limits or StreamLimits()
        self._may_resume = may_resume
        self._check = AnswerCheck(request_id, self._limits.needs_request_id)
        self._stream: ChunkStream | None = None
        self._head = StreamHead()
        self._body: Body = RawBody()
        self.resumes = 0
        self.failure: OriolepaddleError | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the caller was sent the whole answer."""
        return self._body.is_complete

    def open(self) -> StreamHead:
        """Send the request and return the answer's header.

        Raises:
            EndpointError: There is no answer.
            AnswerMismatchedError: The answer belongs to another request.
        """
        self._stream = self._source.open(self._body.position)
        self._head = self._stream.head
        try:
            self._check.check_head(self._head)
            if self._head.offset:
                raise AnswerMismatchedError("the answer does not begin at its start")
        except AnswerMismatchedError:
            self.close()
            raise
        if self._head.is_event_stream:
            self._body = EventBody(self._check, self._limits)
        self._body.begin(self._head)
        return self._head

    def chunks(self) -> Iterator[bytes]:
        """Yield the answer; an event stream that is cut ends in an error event.

        Raises:
            AnswerTruncatedError: The answer was cut short and is no event
                stream; the caller's connection must be broken off.
            AnswerMismatchedError: The same, because another answer came.
        """
        try:
            yield from self._read_on()
        except OriolepaddleError as error:
            self.failure = error
        finally:
            self.close()
        if self.failure is None:
            return
        if not self._head.is_event_stream:
            raise self.failure
        offset = self._body.position.offset
        yield make_truncation_event(self.failure, self._request_id, offset)

    def close(self) -> None:
        """Cancel what is left of the answer, as when the caller leaves."""
        if self._stream is not None:
            self._stream.close()

    def _read_on(self) -> Iterator[bytes]:
        while not self.is_complete:
            reason = yield from self._read_connection()
            if not self.is_complete:
                self._resume(reason)

    def _read_connection(self) -> Iterator[bytes]:
        """Yield one connection's part; return why it ended."""
        try:
            for chunk in self._stream.chunks():
                fresh = self._body.feed(chunk)
                if fresh:
                    yield fresh
                if self._body.failure is not None:
                    raise self._body.failure
                if self.is_complete:
                    return "whole"
        except EndpointError as error:
            return error.message
        held_back = self._body.finish()
        if held_back:
            yield held_back
        return "the endpoint closed the connection"

    def _resume(self, reason: str) -> None:
        """Go on with a new connection.

        Raises:
            AnswerTruncatedError: The answer cannot be resumed.
            AnswerMismatchedError: Another answer came.
        """
        while self._can_resume():
            self.resumes += 1
            self._stream.close()
            logger.debug("{}: resuming after {}", self._request_id, reason)
            try:
                self._stream = self._source.open(self._body.position)
            except EndpointError as error:
                reason = error.message
                continue
            self._begin_again(self._stream.head)
            return
        raise AnswerTruncatedError(f"the answer was cut short: {reason}")

    def _can_resume(self) -> bool:
        is_allowed = self._head.can_resume and self._may_resume()
        return is_allowed and self.resumes < self._limits.max_resumes

    def _begin_again(self, head: StreamHead) -> None:
        self._check.check_head(head)
        offset = self._body.position.offset
        if head.is_event_stream != self._head.is_event_stream:
            raise AnswerMismatchedError("the rest of the answer has another form")
        if not 0 <= head.offset <= offset:
            raise AnswerTruncatedError(
                f"the answer was cut short: it goes on at {head.offset}, not {offset}"
            )
        if head.content_length != self._head.content_length:
            raise AnswerMismatchedError("the rest of the answer has another length")
        self._body.begin(head)
