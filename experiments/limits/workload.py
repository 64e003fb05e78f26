"""Requests of several organisations, evenly or unevenly spread over data centres."""

import random

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["Request", "Workload", "make_organisations", "make_requests"]

PROMPT_TOKENS = 900.0
OUTPUT_TOKENS = 512.0
SKEWED_SHARE = 0.8


@attrs.frozen
class Request:
    """One request of an experiment.

    Attributes:
        at_s: When the request arrives, in seconds.
        organisation: Index of the organisation.
        instance: The instance that receives it.
        reserved: Tokens to reserve: the prompt and the longest answer.
        used: Tokens that it uses.
        duration_s: The duration of the request, in seconds.
    """

    at_s: float
    organisation: int
    instance: str
    reserved: float
    used: float
    duration_s: float


@attrs.frozen
class Workload:
    """The load of the organisations.

    Attributes:
        load: Used tokens, as a share of each organisation's rate.
        is_skewed: Whether most callers of an organisation use one data centre.
        excessive: Index of an organisation at `excess` times its rate, or -1.
        excess: The load of that organisation, as a multiple of its rate.
    """

    load: float
    is_skewed: bool
    excessive: int = -1
    excess: float = 4.0


def make_organisations(
    count: int, total_tokens_per_s: float = 7500.0
) -> list[Organisation]:
    """Return organisations whose rates fall as 1 / rank."""
    scale = total_tokens_per_s / sum(1 / (1 + index) for index in range(count))
    return [
        Organisation(
            id=f"organisation-{index}",
            rate_tokens_per_s=rate,
            burst_tokens=max(60 * rate, 12_000.0),
        )
        for index, rate in enumerate(scale / (1 + index) for index in range(count))
    ]


def make_requests(
    rng: random.Random,
    workload: Workload,
    organisations: list[Organisation],
    instances: dict[str, str],
    seconds: float,
) -> list[Request]:
    """Return Poisson arrivals of all organisations, ordered by time.

    Args:
        rng: The source of randomness.
        workload: The load.
        organisations: The organisations.
        instances: The data centre of each instance.
        seconds: The duration of the arrivals.
    """
    requests = []
    for index, organisation in enumerate(organisations):
        is_excessive = index == workload.excessive
        load = workload.excess if is_excessive else workload.load
        mean_used = PROMPT_TOKENS + OUTPUT_TOKENS / 2
        interval_s = mean_used / (load * organisation.rate_tokens_per_s)
        at_s = rng.expovariate(1 / interval_s)
        while at_s < seconds:
            instance = _choose_instance(rng, workload, index, instances)
            requests.append(_make_request(rng, at_s, index, instance))
            at_s += rng.expovariate(1 / interval_s)
    return sorted(requests, key=lambda request: request.at_s)


def _choose_instance(
    rng: random.Random, workload: Workload, index: int, instances: dict[str, str]
) -> str:
    centres = sorted(set(instances.values()))
    data_centre = rng.choice(centres)
    if workload.is_skewed and rng.random() < SKEWED_SHARE:
        data_centre = centres[index % len(centres)]
    names = [name for name, item in instances.items() if item == data_centre]
    return rng.choice(names)


def _make_request(
    rng: random.Random, at_s: float, index: int, instance: str
) -> Request:
    prompt = min(3 * PROMPT_TOKENS, rng.expovariate(1 / PROMPT_TOKENS))
    output = rng.random() * OUTPUT_TOKENS
    return Request(
        at_s=at_s,
        organisation=index,
        instance=instance,
        reserved=prompt + OUTPUT_TOKENS,
        used=prompt + output,
        duration_s=1 + rng.expovariate(1 / 8.0),
    )
