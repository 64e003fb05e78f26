"""The bodies of answers: what of each chunk is new, and when they are whole."""

from typing import Protocol

from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.streams.check import AnswerCheck
from oriolepaddle.streams.event import SseEvent
from oriolepaddle.streams.limits import StreamLimits
from oriolepaddle.streams.parser import SseParser
from oriolepaddle.streams.source import StreamHead, StreamPosition

__all__ = ["Body", "EventBody", "RawBody"]


class Body(Protocol):
    """Counts what the caller was sent, over all connections of one answer."""

    is_complete: bool
    failure: OriolepaddleError | None

    @property
    def position(self) -> StreamPosition:
        """How much the caller was sent."""
        ...

    def begin(self, head: StreamHead) -> None:
        """Begin with a connection; what it repeats will be left out."""
        ...

    def feed(self, chunk: bytes) -> bytes:
        """Return what of a chunk, and of what was held back, is to be sent.

        What is wrong with the rest is left in `failure`.
        """
        ...

    def finish(self) -> bytes:
        """Note that the connection ended cleanly; return what was held back."""
        ...


class RawBody:
    """A body of bytes, whole when its length is reached."""

    def __init__(self) -> None:
        self.is_complete = False
        self.failure: OriolepaddleError | None = None
        self._offset = 0
        self._surplus = 0
        self._head = StreamHead()

    @property
    def position(self) -> StreamPosition:
        """The number of bytes that were sent."""
        return StreamPosition(self._offset)

    def begin(self, head: StreamHead) -> None:
        """Begin with a connection; see `Body.begin`."""
        self._surplus = self._offset - head.offset
        self._head = head
        self._check_length()

    def feed(self, chunk: bytes) -> bytes:
        """Return the new bytes of a chunk, up to the body's length."""
        skipped = min(self._surplus, len(chunk))
        self._surplus -= skipped
        fresh = chunk[skipped:]
        length = self._head.content_length
        if length is not None:
            fresh = fresh[: max(0, length - self._offset)]
        self._offset += len(fresh)
        self._check_length()
        return fresh

    def finish(self) -> bytes:
        """Note a clean end, which counts only where it cannot be a cut."""
        if self._head.content_length is None and self._surplus == 0:
            self.is_complete = self._head.is_framed
        return b""

    def _check_length(self) -> None:
        if self._offset == self._head.content_length:
            self.is_complete = True


class EventBody:
    """A body of events, sent only whole, and whole with its end marker."""

    def __init__(self, check: AnswerCheck, limits: StreamLimits) -> None:
        self.is_complete = False
        self.failure: OriolepaddleError | None = None
        self._check = check
        self._limits = limits
        self._offset = 0
        self._surplus = 0
        self._last_event_id = ""
        self._head = StreamHead()
        self._parser = SseParser(limits.max_event_bytes)

    @property
    def position(self) -> StreamPosition:
        """The number of events with data that were sent."""
        return StreamPosition(self._offset, self._last_event_id)

    def begin(self, head: StreamHead) -> None:
        """Begin with a connection; see `Body.begin`."""
        self._surplus = self._offset - head.offset
        self._head = head
        self._parser = SseParser(self._limits.max_event_bytes)

    def feed(self, chunk: bytes) -> bytes:
        """Return the new events that a chunk completes."""
        fresh = []
        try:
            for event in self._parser.feed(chunk):
                fresh.append(self._take(event))
        except OriolepaddleError as error:
            self.failure = error
        return b"".join(fresh)

    def finish(self) -> bytes:
        """Note a clean end; an unclosed event counts only as the end marker."""
        event = self._parser.finish()
        marker = self._limits.end_marker
        if marker is None:
            self.is_complete = (
                self._head.is_framed and event is None and not self._surplus
            )
            return b""
        if event is not None and event.data == marker:
            return self._take(event)
        return b""

    def _take(self, event: SseEvent) -> bytes:
        if self.is_complete:
            return b""
        if not event.has_data:
            return event.raw
        self._check.check_event(event)
        if self._surplus:
            self._surplus -= 1
            return b""
        self._offset += 1
        self._last_event_id = event.id or self._last_event_id
        self.is_complete = event.data == self._limits.end_marker
        return event.raw
