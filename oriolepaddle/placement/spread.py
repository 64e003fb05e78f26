"""Choice among endpoints whose load is known only from old reports.

Answers the load of many instances that place short requests: each learns of the others'
requests when these have ended, and all would choose the endpoint that looked best then.
"""

import random
from collections.abc import Sequence

from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.load import EndpointLoad

__all__ = ["MAX_GOOD_COST_RATIO", "Scored", "choose_of_two", "choose_spread"]

Scored = tuple[float, Choice, EndpointLoad]
"""The cost in seconds, the placement and the endpoint's load."""
MAX_GOOD_COST_RATIO = 2.5
"""An endpoint is good up to this multiple of the lowest cost. Smaller ratios leave few
endpoints, which all instances choose: simulated at a high load, p99 was 0.71 s at 1.6,
0.41 s at 2 and 0.33 s at 3."""
MAX_GOOD_DIFFERENCE_S = 0.08
"""The same for engines, as a difference: about the time of reading a shared beginning
again, so that it is not given up for an endpoint that is hardly better."""
COMPARED = 2
MIN_RUNNING_PER_ENDPOINT = 0.25
"""Own requests per good endpoint below which they say too little to compare all: two
random ones are compared then."""


def choose_spread(
    scored: Sequence[Scored], max_first_byte_s: float, generator: random.Random
) -> Scored:
    """Return the good endpoint with the least own work at its pace.

    The requests of this instance are known without delay. Where it has few, the better
    one of two random endpoints is taken.

    Args:
        scored: All endpoints that could run the request.
        max_first_byte_s: Maximum acceptable time to the first byte.
        generator: The source of randomness.
    """
    best = min(scored, key=lambda item: item[0])
    good = _list_good(scored, best, MAX_GOOD_COST_RATIO * best[0], max_first_byte_s)
    running = sum(load.running for _, _, load in good)
    if len(good) > COMPARED and running < MIN_RUNNING_PER_ENDPOINT * len(good):
        good = generator.sample(good, COMPARED)
    return min(good, key=_find_own_work)


def choose_of_two(
    scored: Sequence[Scored], max_first_byte_s: float, generator: random.Random
) -> Scored:
    """Return the one with the lower cost of two random good endpoints.

    For engines, whose remaining prompts are known from reports of 0.3 s ago.

    Args:
        scored: All endpoints that could run the request.
        max_first_byte_s: Maximum acceptable time to the first byte.
        generator: The source of randomness.
    """
    best = min(scored, key=lambda item: item[0])
    good = _list_good(scored, best, best[0] + MAX_GOOD_DIFFERENCE_S, max_first_byte_s)
    if len(good) > COMPARED:
        good = generator.sample(good, COMPARED)
    return min(good, key=lambda item: item[0])


def _list_good(
    scored: Sequence[Scored], best: Scored, limit_s: float, max_first_byte_s: float
) -> list[Scored]:
    """Return the best endpoint and others that are nearly as good and in time."""
    if best[1].is_blocked:
        return [best]
    return [
        item
        for item in scored
        if item is best
        or (item[0] <= limit_s and item[1].expected_s <= max_first_byte_s)
    ]


def _find_own_work(item: Scored) -> tuple[float, float]:
    cost_s, choice, load = item
    factor = choice.work.factor if choice.work else 1.0
    return (load.running + 1) * factor, cost_s
