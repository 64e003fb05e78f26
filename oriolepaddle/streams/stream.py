"""A response that is checked, resumed after a break and marked if truncated."""

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
    """The response to one request, resumed after breaks; used by one thread.

    Args:
        request_id: The id that was sent with the request.
        source: Opens the response, and its rest after a break.
        limits: The limits of the stream.
        may_resume: Returns whether the caller may still be served, considering its
            deadline, its key and this instance's state.

    Attributes:
        resumes: How often the response was resumed.
        failure: Why the response is incomplete, or None.
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
        """Whether the whole response was sent to the caller."""
        return self._body.is_complete

    def open(self) -> StreamHead:
        """Send the request and return the status and headers of the response.

        Raises:
            EndpointError: There is no response.
            AnswerMismatchedError: The response belongs to another request.
        """
        self._stream = self._source.open(self._body.position)
        self._head = self._stream.head
        try:
            self._check.check_head(self._head)
            if self._head.offset:
                raise AnswerMismatchedError("the response does not begin at its start")
        except AnswerMismatchedError:
            self.close()
            raise
        if self._head.is_event_stream:
            self._body = EventBody(self._check, self._limits)
        self._body.begin(self._head)
        return self._head

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; a truncated event stream ends with an error event.

        Raises:
            AnswerTruncatedError: The response was truncated and is not an event
                stream. The caller's connection must be aborted.
            AnswerMismatchedError: The same, as the rest belongs to another response.
        """
        try:
            yield from self._read_all()
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
        """Cancel the rest of the response, for example if the caller disconnects."""
        if self._stream is not None:
            self._stream.close()

    def _read_all(self) -> Iterator[bytes]:
        while not self.is_complete:
            reason = yield from self._read_connection()
            if not self.is_complete:
                self._resume(reason)

    def _read_connection(self) -> Iterator[bytes]:
        """Yield the data of one connection and return why it ended."""
        try:
            for chunk in self._stream.chunks():
                new_data = self._body.feed(chunk)
                if new_data:
                    yield new_data
                if self._body.failure is not None:
                    raise self._body.failure
                if self.is_complete:
                    return "the response is complete"
        except EndpointError as error:
            return error.message
        remaining_event = self._body.finish()
        if remaining_event:
            yield remaining_event
        return "the endpoint closed the connection"

    def _resume(self, reason: str) -> None:
        """Resume the response over a new connection.

        Raises:
            AnswerTruncatedError: The response cannot be resumed.
            AnswerMismatchedError: The rest belongs to another response.
        """
        while self._can_resume():
            self.resumes += 1
            self._stream.close()
            logger.debug(
                "resuming the response to request {}: {}", self._request_id, reason
            )
            try:
                self._stream = self._source.open(self._body.position)
            except EndpointError as error:
                reason = error.message
                continue
            self._continue_body(self._stream.head)
            return
        raise AnswerTruncatedError(f"the response was truncated: {reason}")

    def _can_resume(self) -> bool:
        is_allowed = self._head.can_resume and self._may_resume()
        return is_allowed and self.resumes < self._limits.max_resumes

    def _continue_body(self, head: StreamHead) -> None:
        self._check.check_head(head)
        offset = self._body.position.offset
        if head.is_event_stream != self._head.is_event_stream:
            raise AnswerMismatchedError(
                "the rest of the response has another content type"
            )
        if not 0 <= head.offset <= offset:
            raise AnswerTruncatedError(
                f"the response was truncated: it resumes at {head.offset}, not {offset}"
            )
        if head.content_length != self._head.content_length:
            raise AnswerMismatchedError("the rest of the response has another length")
        self._body.begin(head)
