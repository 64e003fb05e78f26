"""A request of the workload."""

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["Arrival"]


@attrs.frozen
class Arrival:
    """A caller's request.

    Attributes:
        time_s: When it comes in.
        region: The region of its caller.
        organisation: Its organisation.
        prompt_tokens: Tokens of its prompt.
        output_tokens: Tokens of its answer, which the gateway does not know.
        output_limit: Tokens that it allows for the answer.
        prefix_hashes: Hashes of the prompt's blocks.
    """

    time_s: float
    region: str
    organisation: Organisation
    prompt_tokens: int
    output_tokens: int
    output_limit: int
    prefix_hashes: tuple[int, ...]
