"""Selects an endpoint to fetch a cached prefix from instead of prefilling it."""

from collections.abc import Sequence

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad

__all__ = ["find_prefix_source"]

MIN_FETCH_TOKENS = 1000
"""Minimum number of shared tokens to fetch. Prefilling fewer, at some 90 tokens per
millisecond, takes hardly longer than setting up the transfer."""


def find_prefix_source(
    job: Job,
    chosen: EndpointLoad,
    loads: Sequence[EndpointLoad],
    preferred: Sequence[str],
    now_s: float,
) -> RegisteredEndpoint | None:
    """Return an endpoint that is likely to have cached what the chosen one lacks.

    Designed for many questions to each of some hundred dossiers: when the engine that
    has cached a dossier is busy, an engine with a shorter queue is chosen, which would
    otherwise prefill the dossier again.

    Args:
        job: The request.
        chosen: The load of the endpoint that runs it.
        loads: The loads of all endpoints that could run it.
        preferred: Their ids as `rank_preferred` ranks them for the request.
        now_s: Monotonic seconds.

    Returns:
        None if no transfer is known to be worthwhile.
    """
    shared = job.parts[:-1]
    cached_tokens = chosen.prefix_history.count_cached(shared)
    if sum(part.tokens for part in shared) - cached_tokens < MIN_FETCH_TOKENS:
        return None
    others = {
        load.endpoint.id: load
        for load in loads
        if load is not chosen and not load.is_blocked(now_s)
    }
    if not others:
        return None
    counts = {
        name: load.prefix_history.count_cached(shared) for name, load in others.items()
    }
    best = max(counts, key=counts.__getitem__)
    if counts[best] - cached_tokens >= MIN_FETCH_TOKENS:
        return others[best].endpoint
    # Other instances may have sent the prefix to its preferred endpoints, as they
    # compute the same ranking.
    for name in preferred:
        if name == chosen.endpoint.id:
            return None
        if name in others:
            return others[name].endpoint
    return None
