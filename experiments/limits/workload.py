"""Requests of several organisations, skewed over the data centres."""

import random

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["Request", "Workload", "make_organisations", "make_requests"]

PROMPT_TOKENS = 900.0
OUTPUT_TOKENS = 512.0
HOME_PART = 0.8


@attrs.frozen
class Request:
    """One request of an experiment.

    Attributes:
        at_s: When it comes.
        organisation: Index of its organisation.
        instance: The instance that it comes to.
        reserved: Tokens to reserve: prompt plus the most output.
        used: Tokens that it uses in the end.
        duration_s: How long it runs.
    """

    at_s: float
    organisation: int
    instance: str
    reserved: float
    used: float
    duration_s: float


@attrs.frozen
class Workload:
    """What organisations ask for.

    Attributes:
        load: Used tokens as a part of each organisation's rate.
        is_skewed: Whether most callers of an organisation use one data centre.
        excessive: Index of an organisation at `excess` times its rate, or -1.
        excess: Its load as a part of its rate.
    """

    load: float
    is_skewed: bool
    excessive: int = -1
    excess: float = 4.0


def make_organisations(
    count: int, total_tokens_per_s: float = 7500.0
) -> list[Organisation]:
    """Return organisations whose rates differ, a few of them large."""
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
    """Return Poisson arrivals of all organisations in the order of time.

    Args:
        rng: The source of chance.
        workload: What is asked for.
        organisations: The organisations.
        instances: The data centre of each instance.
        seconds: How long requests come.
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
    centre = rng.choice(centres)
    if workload.is_skewed and rng.random() < HOME_PART:
        centre = centres[index % len(centres)]
    names = [name for name, stands_in in instances.items() if stands_in == centre]
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
