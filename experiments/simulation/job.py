"""A request at a simulated engine."""

from collections.abc import Callable

import attrs

__all__ = ["Job"]


@attrs.frozen
class Job:
    """A request with callbacks for its progress.

    Attributes:
        prompt_tokens: Tokens of its prompt.
        output_tokens: Tokens of its answer.
        prefix_hashes: Hashes of the prompt's blocks.
        on_first_token: Called with the first token.
        on_done: Called with the last token.
        on_failed: Called when the engine crashes.
    """

    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    on_first_token: Callable[[], None]
    on_done: Callable[[], None]
    on_failed: Callable[[], None]
