"""Where an engine may fetch the beginning of a prompt in place of reading it."""

from collections.abc import Sequence

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad

__all__ = ["find_prefix_source"]

LEAST_FETCH_TOKENS = 1000
"""Shared tokens below which reading them, at some 90 tokens in a millisecond, takes
hardly longer than setting up their transfer."""


def find_prefix_source(
    job: Job,
    chosen: EndpointLoad,
    loads: Sequence[EndpointLoad],
    homes: Sequence[str],
    now_s: float,
) -> RegisteredEndpoint | None:
    """Return the endpoint that likely holds what the chosen one would have to read.

    The load that this answers: many questions to each of some hundred dossiers. An
    engine with a short queue is preferred to the one that has read the dossier when
    that one is busy, and would read it anew.

    Args:
        job: The request.
        chosen: The load of the endpoint that runs it.
        loads: The loads of all endpoints that could.
        homes: Their ids as `rank_homes` ranks them for the request.
        now_s: Monotonic seconds.

    Returns:
        None if nothing is known to be gained by a transfer.
    """
    shared = job.parts[:-1]
    held = chosen.history.count_cached(shared)
    if sum(part.tokens for part in shared) - held < LEAST_FETCH_TOKENS:
        return None
    others = {
        load.endpoint.id: load
        for load in loads
        if load is not chosen and not load.is_blocked(now_s)
    }
    if not others:
        return None
    counts = {name: load.history.count_cached(shared) for name, load in others.items()}
    best = max(counts, key=counts.__getitem__)
    if counts[best] - held >= LEAST_FETCH_TOKENS:
        return others[best].endpoint
    # What other instances have sent there is not known, but they prefer it too.
    for name in homes:
        if name == chosen.endpoint.id:
            return None
        if name in others:
            return others[name].endpoint
    return None
