"""Cutting a stream of events at their boundaries."""

import re

__all__ = ["EventSplitter"]

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Holds back the event that is not whole yet.

    Attributes:
        last_id: The id of the last whole event, or None.
        events: Whole events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._held = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to here, in one piece."""
        held = self._held + data if self._held else data
        end = max(held.rfind(b"\n\n"), held.rfind(b"\n\r\n"))
        if end < 0:
            self._held = held
            return b""
        match = _BOUNDARY.search(held, max(0, end - 1))
        cut = match.end() if match else end + 2
        whole, self._held = held[:cut], held[cut:]
        self.events += len(_BOUNDARY.findall(whole))
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    @property
    def is_between_events(self) -> bool:
        """Whether nothing of a further event has arrived."""
        return not self._held

    def drop_partial(self) -> None:
        """Forget the event that broke off."""
        self._held = b""
