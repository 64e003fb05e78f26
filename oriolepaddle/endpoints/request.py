"""What is sent to an endpoint."""

import enum

import attrs

__all__ = ["ConnectionReuse", "EndpointRequest"]


class ConnectionReuse(enum.StrEnum):
    """Which kept connections may carry a request."""

    IF_IDEMPOTENT = "if idempotent"
    IF_SURELY_OPEN = "if surely open"
    ANY = "any"


@attrs.frozen
class EndpointRequest:
    """One try of one request.

    Attributes:
        id: The id to send as `X-Request-Id`; empty to send none.
        method: The HTTP method.
        path: The path with its query.
        headers: Header fields, without any caller's key.
        body: The body.
        is_idempotent: Whether the request may reach the endpoint twice.
        first_byte_timeout_s: Seconds until the first byte of the answer.
        stall_timeout_s: Seconds without a byte after the first.
        deadline_s: Monotonic time at which the try is given up.
        reuse: Which kept connections may carry it.
    """

    id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_idempotent: bool
    first_byte_timeout_s: float
    stall_timeout_s: float
    deadline_s: float
    reuse: ConnectionReuse = ConnectionReuse.IF_IDEMPOTENT
