"""The interfaces through which an endpoint's answer is read."""

from collections.abc import Iterator
from typing import Protocol

import attrs

__all__ = ["ChunkSource", "ChunkStream", "StreamHead", "StreamPosition"]


@attrs.frozen
class StreamPosition:
    """How much of an answer has been passed to the caller.

    Attributes:
        offset: Events with data in a stream of events, else bytes.
        last_event_id: The id of the last event that had one.
    """

    offset: int = 0
    last_event_id: str = ""


@attrs.frozen
class StreamHead:
    """What the header of an answer, or of the rest of one, says.

    Attributes:
        status: The HTTP status.
        headers: Pairs of name and value.
        request_id: The id of the request that it answers, or None.
        offset: Where the body begins, in the unit of `StreamPosition.offset`.
        content_length: The length of the whole answer in bytes, or None.
        is_event_stream: Whether the body is a stream of events.
        is_framed: Whether the transport itself tells a whole body from a cut
            one, as the chunked coding does.
        can_resume: Whether the endpoint resumes this answer after a break.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    request_id: str | None = None
    offset: int = 0
    content_length: int | None = None
    is_event_stream: bool = False
    is_framed: bool = False
    can_resume: bool = False


class ChunkStream(Protocol):
    """One connection's part of an answer."""

    @property
    def head(self) -> StreamHead:
        """The header."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            EndpointError: The connection broke or stalled.
        """
        ...

    def close(self) -> None:
        """Cancel the rest; the endpoint stops generating."""
        ...


class ChunkSource(Protocol):
    """Opens the answer to one request, at its start or where it broke."""

    def open(self, position: StreamPosition) -> ChunkStream:
        """Open the answer; at offset 0 of the first call the request is sent.

        A later call never runs the request again: it asks the endpoint for the
        rest of the same answer. The endpoint may begin earlier than asked.

        Raises:
            EndpointError: There is no answer, or no rest of it.
        """
        ...
