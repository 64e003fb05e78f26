"""The bodies of responses: which data is new, and when a body is complete."""

from typing import Protocol

from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.streams.check import AnswerCheck
from oriolepaddle.streams.event import SseEvent
from oriolepaddle.streams.limits import StreamLimits
from oriolepaddle.streams.parser import SseParser
from oriolepaddle.streams.source import StreamHead, StreamPosition

__all__ = ["Body", "EventBody", "RawBody"]


class Body(Protocol):
    """Counts the data sent to the caller, over all connections of one response."""

    is_complete: bool
    failure: OriolepaddleError | None

    @property
    def position(self) -> StreamPosition:
        """How much of the body was sent to the caller."""
        ...

    def begin(self, head: StreamHead) -> None:
        """Start reading from a connection; data that it repeats will be skipped."""
        ...

    def feed(self, chunk: bytes) -> bytes:
        """Return the new data that a chunk completes, which is to be sent.

        An error in the data that follows is stored in `failure`.
        """
        ...

    def finish(self) -> bytes:
        """Record a clean end of the connection and return buffered data to be sent."""
        ...


class RawBody:
    """A body of bytes, complete when its length is reached."""

    def __init__(self) -> None:
        self.is_complete = False
        self.failure: OriolepaddleError | None = None
        self._offset = 0
        self._skip_count = 0
        self._head = StreamHead()

    @property
    def position(self) -> StreamPosition:
        """The number of bytes that were sent to the caller."""
        return StreamPosition(self._offset)

    def begin(self, head: StreamHead) -> None:
        """Start reading from a connection; see `Body.begin`."""
        self._skip_count = self._offset - head.offset
        self._head = head
        self._check_length()

    def feed(self, chunk: bytes) -> bytes:
        """Return the new bytes of a chunk, up to the body's length."""
        skipped = min(self._skip_count, len(chunk))
        self._skip_count -= skipped
        new_data = chunk[skipped:]
        length = self._head.content_length
        if length is not None:
            new_data = new_data[: max(0, length - self._offset)]
        self._offset += len(new_data)
        self._check_length()
        return new_data

    def finish(self) -> bytes:
        """Record a clean end, which completes a framed body of unknown length."""
        if self._head.content_length is None and self._skip_count == 0:
            self.is_complete = self._head.has_end_marker
        return b""

    def _check_length(self) -> None:
        if self._offset == self._head.content_length:
            self.is_complete = True


class EventBody:
    """A body of events, which is complete with its end marker.

    Only complete events are sent.
    """

    def __init__(self, check: AnswerCheck, limits: StreamLimits) -> None:
        self.is_complete = False
        self.failure: OriolepaddleError | None = None
        self._check = check
        self._limits = limits
        self._offset = 0
        self._skip_count = 0
        self._last_event_id = ""
        self._head = StreamHead()
        self._parser = SseParser(limits.max_event_bytes)

    @property
    def position(self) -> StreamPosition:
        """The number of events with data that were sent to the caller."""
        return StreamPosition(self._offset, self._last_event_id)

    def begin(self, head: StreamHead) -> None:
        """Start reading from a connection; see `Body.begin`."""
        self._skip_count = self._offset - head.offset
        self._head = head
        self._parser = SseParser(self._limits.max_event_bytes)

    def feed(self, chunk: bytes) -> bytes:
        """Return the new events that a chunk completes."""
        new_events = []
        try:
            for event in self._parser.feed(chunk):
                new_events.append(self._accept_event(event))
        except OriolepaddleError as error:
            self.failure = error
        return b"".join(new_events)

    def finish(self) -> bytes:
        """Record a clean end; an unterminated event is accepted only as end marker."""
        event = self._parser.finish()
        marker = self._limits.end_marker
        if marker is None:
            self.is_complete = (
                self._head.has_end_marker and event is None and not self._skip_count
            )
            return b""
        if event is not None and event.data == marker:
            return self._accept_event(event)
        return b""

    def _accept_event(self, event: SseEvent) -> bytes:
        if self.is_complete:
            return b""
        if not event.has_data:
            return event.raw
        self._check.check_event(event)
        if self._skip_count:
            self._skip_count -= 1
            return b""
        self._offset += 1
        self._last_event_id = event.id or self._last_event_id
        self.is_complete = event.data == self._limits.end_marker
        return event.raw
