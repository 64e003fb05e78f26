"""How an endpoint compares with others for a request."""

import attrs

__all__ = ["EndpointScore"]


@attrs.frozen
class EndpointScore:
    """What decides whether an endpoint is chosen.

    Attributes:
        endpoint: Its id.
        data_centre: Where it stands.
        cost_s: What is compared: the expected time, what its failures cost and
            the preference for the homes of a prompt.
        expected_s: Seconds to the first byte.
        uncached_tokens: Tokens of the prompt that it would have to read.
        running: Requests that run there, as far as is known.
        unread_tokens: Tokens of their prompts that are still to be read.
        is_cold: Whether it bears only the rate of a cold start.
        is_blocked: Whether it is left alone after it could not be reached.
    """

    endpoint: str
    data_centre: str
    cost_s: float
    expected_s: float
    uncached_tokens: int
    running: int
    unread_tokens: int
    is_cold: bool
    is_blocked: bool
