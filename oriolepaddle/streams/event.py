"""One server-sent event."""

import attrs

__all__ = ["SseEvent"]


@attrs.frozen
class SseEvent:
    """A server-sent event and its raw bytes.

    Attributes:
        raw: The event's bytes, including the blank line at its end.
        data: The values of the data lines, joined by line feeds.
        type: The event's type; empty for the default type.
        id: The event's id; empty if it has none.
        has_data: Whether the event has a data line; a comment has none.
    """

    raw: bytes
    data: bytes = b""
    type: str = ""
    id: str = ""
    has_data: bool = False
