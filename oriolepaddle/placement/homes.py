"""Which endpoints the requests with one shared beginning are sent to."""

from collections.abc import Iterable

import xxhash

from oriolepaddle.placement.job import Job

__all__ = ["rank_homes"]


def rank_homes(names: Iterable[str], job: Job) -> list[str]:
    """Return endpoints in the order in which they are to hold a prompt's beginning.

    All instances find the same order without a word to each other.

    Args:
        names: The endpoints' ids.
        job: The request.

    Returns:
        Nothing if the prompt has no part that others begin with too.
    """
    if len(job.parts) < 2:
        return []
    # The last part is the request's own; the one before it is shared.
    shared = job.parts[-2].id
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}|{shared}".encode())
    )
