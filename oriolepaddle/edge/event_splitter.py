"""Splits an event stream at the boundaries of its events."""

import re

from oriolepaddle.errors import AnswerTruncatedError

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 262_144
"""An engine's event has some hundred bytes. An instance with 160 MB of memory relays
a hundred streams."""
_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Releases complete events and buffers an incomplete one.

    Attributes:
        last_id: The id of the last complete event, or None.
        events: The number of complete events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are now complete.

        Raises:
            AnswerTruncatedError: The incomplete event is too long for an event.
        """
        buffered = self._partial_event + data if self._partial_event else data
        end = max(buffered.rfind(b"\n\n"), buffered.rfind(b"\n\r\n"))
        if end < 0:
            self._partial_event = buffered
            if len(buffered) > MAX_EVENT_BYTES:
                raise AnswerTruncatedError(
                    f"an event of the stream is longer than {MAX_EVENT_BYTES} bytes"
                )
            return b""
        match = _BOUNDARY.search(buffered, max(0, end - 1))
        split_at = match.end() if match else end + 2
        complete, self._partial_event = buffered[:split_at], buffered[split_at:]
        self.events += len(_BOUNDARY.findall(complete))
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    @property
    def partial_bytes(self) -> int:
        """The size of the incomplete event."""
        return len(self._partial_event)

    @property
    def is_between_events(self) -> bool:
        """Whether no part of a further event is buffered."""
        return not self._partial_event

    def drop_partial(self) -> None:
        """Discard the incomplete event."""
        self._partial_event = b""
