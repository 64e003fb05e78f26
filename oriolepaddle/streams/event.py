"""One server-sent event."""

import attrs

__all__ = ["SseEvent"]


@attrs.frozen
class SseEvent:
    """A server-sent event with the bytes that it came in.

    Attributes:
        raw: The event's bytes, its closing blank line included.
        data: The data lines, joined by line feeds.
        type: The event's type, empty for the default.
        id: The event's id, empty if it has none.
        has_data: Whether there is any data line; a comment has none.
    """

    raw: bytes
    data: bytes = b""
    type: str = ""
    id: str = ""
    has_data: bool = False
