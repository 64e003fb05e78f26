"""A caller's request, decoded."""

import attrs

from oriolepaddle.placement import PromptPart

__all__ = ["EdgeRequest"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class EdgeRequest:
    """One request as a caller sent it.

    Attributes:
        id: The caller's id for this request; empty if it sent none.
        method: The HTTP method.
        host: The requested host, in lower case.
        path: The path without the query, as sent.
        target: The path and query, as sent.
        headers: Header fields that are sent on to an endpoint.
        body: The body.
        key: The API key, or None.
        arrived_s: Monotonic time at which the request was received in full.
        caller_timeout_s: Seconds for which the caller waits, or None if not given.
        parts: The parts of the prompt.
        input_tokens: The number of tokens in the prompt.
        output_tokens: The maximum number of tokens in the response.
        has_token_counts: Whether the caller sent the token counts.
        last_event_id: The last event that the caller received, or None.
        hops: The ids of the instances that forwarded the request.
        earlier_runs: Endpoints that may have run the request before it was
            forwarded.
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

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other prompts may have too; the last one is its own."""
        return self.parts[:-1]

    def without_hops(self) -> "EdgeRequest":
        """Return the request without the fields of a forwarded one."""
        return attrs.evolve(self, hops=(), earlier_runs=0)
