"""Limits of a resumable stream."""

import attrs

__all__ = ["END_MARKER", "StreamLimits"]

END_MARKER = b"[DONE]"
"""The data of the event with which engines end a complete response."""


@attrs.frozen
class StreamLimits:
    """Limits of a resumable stream.

    Attributes:
        max_event_bytes: The maximum size of an event.
        max_resumes: How often one response is resumed at most.
        end_marker: The data of the last event, or None if the stream has no end
            marker and the transport marks its end.
        needs_request_id: Whether a response without a request id is rejected.
    """

    max_event_bytes: int = 262_144
    max_resumes: int = 3
    end_marker: bytes | None = END_MARKER
    needs_request_id: bool = True
