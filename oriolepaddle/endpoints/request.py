"""What is sent to an endpoint."""

import attrs

__all__ = ["EndpointRequest"]


@attrs.frozen
class EndpointRequest:
    """One try of one request.

    Attributes:
        id: The request id, which the answer must repeat.
        method: The HTTP method.
        path: The path with its query.
        headers: Header fields, without any caller's key.
        body: The body.
        is_idempotent: Whether the request may reach the endpoint twice.
        first_byte_timeout_s: Seconds until the first byte of the answer.
        stall_timeout_s: Seconds without a byte after the first.
        deadline_s: Monotonic time at which the try is given up.
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
