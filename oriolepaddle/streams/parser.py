"""A bounded parser of server-sent events."""

import re
from collections.abc import Iterator

from oriolepaddle.errors import AnswerMalformedError
from oriolepaddle.streams.event import SseEvent

__all__ = ["SseParser"]

# Atomic groups, so that one CR LF is not taken for two line ends.
_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_LONGEST_BLANK_LINE = 4
_DATA = b"data: "
_END = b"\n\n"


class SseParser:
    """Cuts a byte stream into events, wherever its chunks begin and end.

    Args:
        max_event_bytes: The largest event, its blank line included.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._scanned = 0

    def feed(self, chunk: bytes) -> Iterator[SseEvent]:
        """Take in a chunk and yield the events that it completes.

        The iterator must be used up before the next chunk is fed.

        Raises:
            AnswerMalformedError: An event is larger than the bound; those
                before it were yielded.
        """
        if not self._buffer and _is_one_line(chunk):
            # Nearly all chunks of an engine are one event of one line.
            self._check_size(len(chunk))
            yield SseEvent(chunk, chunk[len(_DATA) : -len(_END)], "", "", True)
            return
        self._buffer += chunk
        search_from = max(0, self._scanned - _LONGEST_BLANK_LINE)
        while match := _BLANK_LINE.search(self._buffer, search_from):
            end = match.end()
            if end == len(self._buffer) and self._buffer[end - 1] == ord("\r"):
                # The line feed of a CR LF may follow in the next chunk.
                break
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            search_from = 0
            yield self._make_event(raw)
        self._scanned = len(self._buffer)
        self._check_size(self._scanned)

    def finish(self) -> SseEvent | None:
        """Return the event that the stream ended in, closed, or None."""
        tail = bytes(self._buffer).rstrip(b"\r\n")
        self._buffer.clear()
        self._scanned = 0
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
        first_line_end == len(chunk) - len(_END)
        and chunk.startswith(_DATA)
        and chunk.endswith(_END)
        and b"\r" not in chunk
    )
