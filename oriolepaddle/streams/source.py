"""The interfaces through which an endpoint's response is read."""

from collections.abc import Iterator
from typing import Protocol

import attrs

__all__ = ["ChunkSource", "ChunkStream", "StreamHead", "StreamPosition"]


@attrs.frozen
class StreamPosition:
    """How much of a response has been sent to the caller.

    Attributes:
        offset: The number of events with data if the response is an event stream,
            else the number of bytes.
        last_event_id: The id of the last event that had one.
    """

    offset: int = 0
    last_event_id: str = ""


@attrs.frozen
class StreamHead:
    """The status and headers of a response, or of the rest of one.

    Attributes:
        status: The HTTP status.
        headers: The header fields, as pairs of name and value.
        request_id: The id of the request that the response answers, or None.
        offset: The position in the whole response at which this body begins, in the
            unit of `StreamPosition.offset`.
        content_length: The length of the whole response in bytes, or None.
        is_event_stream: Whether the body is a stream of events.
        has_end_marker: Whether the transport marks the end of a complete body, as
            the chunked transfer coding does.
        can_resume: Whether the endpoint can resume this response after a break.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    request_id: str | None = None
    offset: int = 0
    content_length: int | None = None
    is_event_stream: bool = False
    has_end_marker: bool = False
    can_resume: bool = False


class ChunkStream(Protocol):
    """The part of a response that is read from one connection."""

    @property
    def head(self) -> StreamHead:
        """The status and headers."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            EndpointError: The connection broke or stalled.
        """
        ...

    def close(self) -> None:
        """Cancel the rest, so that the endpoint stops generating."""
        ...


class ChunkSource(Protocol):
    """Opens the response to one request, at its start or where it broke off."""

    def open(self, position: StreamPosition) -> ChunkStream:
        """Open the response. The first call, at offset 0, sends the request.

        Later calls never run the request again: they request the rest of the same
        response. The endpoint may begin before the requested position.

        Raises:
            EndpointError: There is no response, or its rest is not available.
        """
        ...
