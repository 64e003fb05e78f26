"""The score of an endpoint for a request."""

import attrs

__all__ = ["EndpointScore"]


@attrs.frozen
class EndpointScore:
    """The estimates that an endpoint is chosen by.

    Attributes:
        endpoint: Its id.
        data_centre: Its data centre.
        cost_s: The cost that endpoints are compared by: the expected time to the
            first byte, the failure penalty, the weighted cost for streams, and the
            bonus of the prompt's preferred endpoints.
        expected_s: Expected seconds to the first byte.
        uncached_tokens: Prompt tokens to prefill that are not expected in its cache.
        running: Known number of requests running there.
        unread_tokens: Tokens of their prompts that are not prefilled yet.
        is_cold: Whether its request rate is limited during its cold start.
        is_blocked: Whether it is avoided because it was unreachable or is silent.
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
