"""A parser of server-sent events with a maximum event size."""

import re
from collections.abc import Iterator

from oriolepaddle.errors import AnswerMalformedError
from oriolepaddle.streams.event import SseEvent

__all__ = ["SseParser"]

# Atomic groups prevent one CR LF from being matched as two line ends.
_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_MAX_BLANK_LINE_BYTES = 4
_DATA_PREFIX = b"data: "
_EVENT_END = b"\n\n"


class SseParser:
    """Splits a byte stream into events, whatever the bounds of its chunks.

    Args:
        max_event_bytes: The maximum size of an event, including its blank line.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._scanned_bytes = 0

    def feed(self, chunk: bytes) -> Iterator[SseEvent]:
        """Parse a chunk and yield the events that it completes.

        The iterator must be exhausted before the next chunk is fed.

        Raises:
            AnswerMalformedError: An event is too large. The events before it were
                yielded.
        """
        if not self._buffer and _is_one_line(chunk):
            # Fast path: nearly every chunk of an engine is one event of one line.
            self._check_size(len(chunk))
            yield SseEvent(
                chunk, chunk[len(_DATA_PREFIX) : -len(_EVENT_END)], "", "", True
            )
            return
        self._buffer += chunk
        search_from = max(0, self._scanned_bytes - _MAX_BLANK_LINE_BYTES)
        while match := _BLANK_LINE.search(self._buffer, search_from):
            end = match.end()
            if end == len(self._buffer) and self._buffer[end - 1] == ord("\r"):
                # The LF of this CR LF may be in the next chunk.
                break
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            search_from = 0
            yield self._make_event(raw)
        self._scanned_bytes = len(self._buffer)
        self._check_size(self._scanned_bytes)

    def finish(self) -> SseEvent | None:
        """Return the unterminated event at the stream's end, terminated, or None."""
        tail = bytes(self._buffer).rstrip(b"\r\n")
        self._buffer.clear()
        self._scanned_bytes = 0
        return self._make_event(tail + b"\n\n") if tail else None

    def _make_event(self, raw: bytes) -> SseEvent:
        self._check_size(len(raw))
        data = []
        event_type = event_id = ""
        for line in _LINE_END.split(raw):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                data.append(value)
            elif name == b"event":
                event_type = value.decode(errors="replace")
            elif name == b"id":
                event_id = value.decode(errors="replace")
        return SseEvent(raw, b"\n".join(data), event_type, event_id, bool(data))

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_event_bytes:
            raise AnswerMalformedError(
                f"an event is larger than {self._max_event_bytes} bytes"
            )


def _is_one_line(chunk: bytes) -> bool:
    first_line_end = chunk.find(b"\n")
    return (
        first_line_end == len(chunk) - len(_EVENT_END)
        and chunk.startswith(_DATA_PREFIX)
        and chunk.endswith(_EVENT_END)
        and b"\r" not in chunk
    )
