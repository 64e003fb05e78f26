"""The score of an endpoint for a request."""

import attrs

from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.load import PeerLoad

__all__ = ["EndpointScore", "make_score"]


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
        request_cost_s: Expected work of the request at the usual pace, in seconds;
            like the following, None if the endpoint reports no pace.
        remaining_s: Expected work that is left there, likewise.
        factor: Expected ratio of times there to those at the usual pace.
        pace: The pace factor of its last reading.
        pace_age_s: The age of that reading in seconds.
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
    request_cost_s: float | None = None
    remaining_s: float | None = None
    factor: float | None = None
    pace: float | None = None
    pace_age_s: float | None = None


def make_score(
    cost_s: float, choice: Choice, total: PeerLoad, is_cold: bool
) -> EndpointScore:
    """Return the score of a placement.

    Args:
        cost_s: The cost that endpoints are compared by.
        choice: The placement.
        total: The load of its endpoint.
        is_cold: Whether the endpoint's request rate is limited.
    """
    work = choice.work
    return EndpointScore(
        endpoint=choice.endpoint.id,
        data_centre=choice.endpoint.data_centre,
        cost_s=round(cost_s, 4),
        expected_s=round(choice.expected_s, 4),
        uncached_tokens=choice.uncached_tokens,
        running=total.running,
        unread_tokens=total.prefill_tokens,
        is_cold=is_cold,
        is_blocked=choice.is_blocked,
        request_cost_s=_round(work.cost_s) if work else None,
        remaining_s=_round(work.remaining_s) if work else None,
        factor=round(work.factor, 3) if work else None,
        pace=_round(work.pace) if work else None,
        pace_age_s=_round(work.pace_age_s) if work else None,
    )


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
