"""Bounds of a resumable stream."""

import attrs

__all__ = ["END_MARKER", "StreamLimits"]

END_MARKER = b"[DONE]"
"""The data of the event with which engines end a whole answer."""


@attrs.frozen
class StreamLimits:
    """Bounds of a resumable stream.

    Attributes:
        max_event_bytes: The largest event.
        max_resumes: How often one answer is resumed.
        end_marker: The data of the last event; None if the stream has none, so
            that the end is the transport's.
        needs_request_id: Whether an answer without a request id is refused.
    """

    max_event_bytes: int = 262_144
    max_resumes: int = 3
    end_marker: bytes | None = END_MARKER
    needs_request_id: bool = True
