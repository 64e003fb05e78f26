"""A request as the gateway knows it."""

import attrs

from oriolepaddle.config.model import Key, Organisation, Route

__all__ = ["CallerRequest"]


@attrs.frozen
class CallerRequest:
    """A parsed and authenticated request.

    Attributes:
        id: The request id, the caller's own if it sent one.
        method: The HTTP method.
        path: The path for the endpoint, with its query, without any key.
        caller_path: The path that the caller asked for, without any key.
        headers: The header fields for the endpoint.
        body: The body for the endpoint, without any key.
        route: The route that it asks for.
        organisation: The organisation that it runs for; None on open routes.
        key: The key that it showed; None on open routes.
        is_idempotent: Whether it may be run more than once.
        is_stream: Whether the answer is to be streamed as events.
        prompt_text: The prompt, or empty for plain services.
        prompt_tokens: An estimate of the prompt's tokens.
        output_tokens: The most tokens of the answer.
        priority: A higher one goes first within its organisation.
        deadline_s: Monotonic time until which the answer is of use.
        order_number: The idempotency key, or None.
        hops: Ids of the instances that passed it on, the first one first.
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
        """The tokens to reserve: the prompt and the allowed output."""
        return self.prompt_tokens + self.output_tokens

    @property
    def organisation_id(self) -> str:
        """The organisation's id, or empty on open routes."""
        return self.organisation.id if self.organisation else ""
