"""What is known of one incarnation of an endpoint."""

import attrs

__all__ = ["LeavingEntry", "LimitEntry"]


@attrs.frozen
class LimitEntry:
    """What is known of an endpoint's limit.

    Attributes:
        incarnation: The incarnation of the endpoint.
        limit_per_s: Requests a second from all instances together; None if the
            endpoint has lifted its limit.
        stated_s: Monotonic time as of which the endpoint is known to have said so.
        origin: The instance that heard it.
    """

    incarnation: str
    limit_per_s: float | None
    stated_s: float
    origin: str


@attrs.frozen
class LeavingEntry:
    """An endpoint that has said that it leaves.

    Attributes:
        incarnation: The incarnation of the endpoint.
        heard_s: Monotonic time at which it was first heard.
        origin: The instance that heard it.
    """

    incarnation: str
    heard_s: float
    origin: str
