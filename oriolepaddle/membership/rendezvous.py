"""Rendezvous hashing: an order of instances that all who list them agree on."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_instances"]


def rank_instances(instances: Iterable[str], key: str) -> tuple[str, ...]:
    """Return instances by falling weight for a key.

    An instance that joins or leaves changes no other pair's order.

    Args:
        instances: Ids of instances.
        key: What they are ranked for.
    """
    weights = [
        (xxhash.xxh64_intdigest(f"{instance}|{key}".encode()), instance)
        for instance in instances
    ]
    return tuple(instance for _, instance in sorted(weights, reverse=True))
