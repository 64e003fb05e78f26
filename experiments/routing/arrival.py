"""A request of the workload."""

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["Arrival"]


@attrs.frozen
class Arrival:
    """A caller's request.

    Attributes:
        time_s: When the request arrives, in seconds.
        region: The region of the caller.
        organisation: The caller's organisation.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens of the answer, unknown to the gateway.
        output_limit: The request's limit on the tokens of the answer.
        prefix_hashes: Hashes of the prompt's blocks.
    """

    time_s: float
    region: str
    organisation: Organisation
    prompt_tokens: int
    output_tokens: int
    output_limit: int
    prefix_hashes: tuple[int, ...]
