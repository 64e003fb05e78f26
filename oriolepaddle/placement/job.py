"""What placing needs to know of a request."""

import attrs

from oriolepaddle.placement.urgency import USUAL

__all__ = ["Job", "PromptPart"]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may begin with too.

    Attributes:
        id: Equal for equal parts.
        tokens: Its length.
    """

    id: str
    tokens: int


@attrs.frozen
class Job:
    """A request that is to be placed.

    Attributes:
        service: The service that runs it.
        parts: The prompt's parts in order; empty for plain services.
        input_tokens: Tokens of the prompt.
        output_tokens: The most tokens of the answer.
        max_first_byte_s: Seconds until the first byte within which running it is
            worth while.
        urgency: Its rank at an engine, the lowest first.
    """

    service: str
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0
    max_first_byte_s: float = float("inf")
    urgency: int = USUAL

    @property
    def memory_tokens(self) -> int:
        """Tokens of an engine's memory that it may come to hold."""
        return self.input_tokens + self.output_tokens
