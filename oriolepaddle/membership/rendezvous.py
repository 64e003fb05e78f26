"""Rendezvous hashing: the same ranking for all who know the same instances."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_instances"]


def rank_instances(instances: Iterable[str], key: str) -> tuple[str, ...]:
    """Return instances by descending weight for a key.

    The relative order of two instances does not change when others join or leave.

    Args:
        instances: Ids of instances.
        key: The key to rank them for.
    """
    weights = [
        (xxhash.xxh64_intdigest(f"{instance}|{key}".encode()), instance)
        for instance in instances
    ]
    return tuple(instance for _, instance in sorted(weights, reverse=True))
