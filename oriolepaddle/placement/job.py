"""The properties of a request that its placement depends on."""

import attrs

from oriolepaddle.placement.urgency import DEFAULT_URGENCY

__all__ = ["Job", "PromptPart"]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may share as a prefix.

    Attributes:
        id: Identifies the content; equal for equal parts.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


@attrs.frozen
class Job:
    """A request to be placed.

    Attributes:
        service: The service that runs it.
        parts: The prompt's parts in order; empty for plain services.
        input_tokens: Tokens of the prompt.
        output_tokens: Maximum number of tokens of the answer.
        max_first_byte_s: Maximum acceptable time to the first byte; the request is
            refused if every endpoint is expected to take longer.
        urgency: Its scheduling rank at an engine; lower ranks run first.
        route: The name of its route, by which costs are learned.
        size_bytes: Size of its body.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0
    max_first_byte_s: float = float("inf")
    urgency: int = DEFAULT_URGENCY
    route: str = ""
    size_bytes: int = 0

    @property
    def memory_tokens(self) -> int:
        """Maximum number of tokens that it may occupy in an engine's memory."""
        return self.input_tokens + self.output_tokens
