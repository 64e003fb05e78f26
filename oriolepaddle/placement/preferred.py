"""The preferred endpoints of a shared prompt prefix."""

from collections.abc import Iterable

import xxhash

from oriolepaddle.placement.job import Job

__all__ = ["rank_preferred"]


def rank_preferred(names: Iterable[str], job: Job) -> list[str]:
    """Rank endpoints for a prompt's shared prefix by rendezvous hashing.

    All instances compute the same order without communication.

    Args:
        names: The endpoints' ids.
        job: The request.

    Returns:
        The ids, most preferred first; empty if the prompt shares no prefix with
        others.
    """
    if len(job.parts) < 2:
        return []
    # The last part belongs to this request alone; the one before it is shared.
    shared = job.parts[-2].id
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}|{shared}".encode())
    )
