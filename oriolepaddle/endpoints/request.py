"""What is sent to an endpoint."""

import attrs

__all__ = ["EndpointRequest"]


@attrs.frozen
class EndpointRequest:
    """One try of one request.

    Attributes:
        id: The id to send as `X-Request-Id`; empty to send none.
        method: The HTTP method.
        path: The path with its query.
        headers: Header fields, without any caller's key.
        body: The body.
        is_idempotent: Whether the request may reach the endpoint twice; if
            not, it gets a connection of its own unless `may_reuse` says else.
        first_byte_timeout_s: Seconds until the first byte of the answer.
        stall_timeout_s: Seconds without a byte after the first.
        deadline_s: Monotonic time at which the try is given up.
        may_reuse: Whether a kept connection may carry it; None if that
            follows from `is_idempotent`.
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
    may_reuse: bool | None = None

    @property
    def needs_fresh_connection(self) -> bool:
        """Whether no kept connection may carry the request."""
        if self.may_reuse is None:
            return not self.is_idempotent
        return not self.may_reuse
