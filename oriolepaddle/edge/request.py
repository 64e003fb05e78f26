"""A caller's request, decoded."""

import attrs

from oriolepaddle.placement import PromptPart

__all__ = ["EdgeRequest"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class EdgeRequest:
    """One request as a caller sent it.

    Attributes:
        id: The caller's id of this request; empty if it sent none.
        method: The HTTP method.
        host: The host asked for, in lower case.
        path: The path without the query, as sent.
        target: The path and query, as sent.
        headers: Header fields that an endpoint may see.
        body: The body.
        key: The key shown, or None.
        arrived_s: Monotonic time at which it was whole.
        caller_timeout_s: Seconds for which the caller waits, or None if not told.
        parts: The prompt's parts.
        input_tokens: Tokens of the prompt.
        output_tokens: The most tokens of the answer.
        has_token_counts: Whether the caller told them.
        last_event_id: The last event that the caller has, or None.
        hops: Instances that passed it on.
        earlier_runs: Endpoints that may have run it before it was passed on.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes = attrs.field(repr=False)
    key: str | None = attrs.field(repr=False)
    arrived_s: float
    caller_timeout_s: float | None = None
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0
    has_token_counts: bool = False
    last_event_id: str | None = None
    hops: tuple[str, ...] = ()
    earlier_runs: int = 0

    def without_hops(self) -> "EdgeRequest":
        """Return the request as one that came from a caller."""
        return attrs.evolve(self, hops=(), earlier_runs=0)
