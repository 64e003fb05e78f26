"""Requests to endpoints."""

import enum

import attrs

__all__ = ["ConnectionReuse", "EndpointRequest"]


class ConnectionReuse(enum.StrEnum):
    """When a request may use an idle connection of the pool.

    Attributes:
        IF_IDEMPOTENT: Only if the request is idempotent.
        IF_SURELY_OPEN: If the request is idempotent, or if the server cannot have
            closed the connection yet by its idle timeout.
        ANY: Always.
    """

    IF_IDEMPOTENT = "if idempotent"
    IF_SURELY_OPEN = "if surely open"
    ANY = "any"


@attrs.frozen
class EndpointRequest:
    """One attempt of a request.

    Attributes:
        id: Value of the `X-Request-Id` header; empty to send none.
        method: HTTP method.
        path: Path with the query, sent as it is.
        headers: Header fields, without the caller's key.
        body: Request body.
        is_idempotent: Whether the request may be sent to the endpoint twice.
        first_byte_timeout_s: Maximum time to the first byte of the answer.
        stall_timeout_s: Maximum time between two bytes of the answer.
        deadline_s: Monotonic time at which the attempt times out.
        reuse: Whether the request may use an idle connection.
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
