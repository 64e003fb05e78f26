"""The parsed form of a caller's request."""

import attrs

from oriolepaddle.config.model import Key, Organisation, Route

__all__ = ["CallerRequest"]


@attrs.frozen
class CallerRequest:
    """A parsed and authenticated request.

    Attributes:
        id: The request id, chosen by the caller if it sent one.
        method: The HTTP method.
        path: The path and query to send to the endpoint, without any key.
        caller_path: The path and query that the caller requested, without any key.
        headers: The header fields to send to the endpoint.
        body: The body to send to the endpoint, without any key.
        route: The requested route.
        organisation: The caller's organisation; None on open routes.
        key: The caller's key; None on open routes.
        is_idempotent: Whether the request may be run more than once.
        is_stream: Whether the caller requested an event stream.
        prompt_text: The prompt; empty for services without a model.
        prompt_tokens: The estimated number of tokens of the prompt.
        output_tokens: The maximum number of output tokens.
        priority: Requests of higher priority are admitted first within their
            organisation.
        deadline_s: Monotonic time by which the whole response must be sent.
        order_number: The idempotency key, or None.
        hops: Ids of the instances that forwarded the request, in order.
    """

    id: str
    method: str
    path: str
    caller_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    organisation: Organisation | None
    key: Key | None
    is_idempotent: bool
    is_stream: bool
    prompt_text: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    deadline_s: float
    order_number: str | None = None
    hops: tuple[str, ...] = ()

    @property
    def tokens(self) -> int:
        """The number of tokens to reserve: the prompt and the maximum output."""
        return self.prompt_tokens + self.output_tokens

    @property
    def organisation_id(self) -> str:
        """The organisation's id; empty on open routes."""
        return self.organisation.id if self.organisation else ""
