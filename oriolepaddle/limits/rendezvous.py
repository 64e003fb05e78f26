"""Rendezvous hashing of organisations over instances."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_instances"]


def rank_instances(organisation_id: str, instances: Iterable[str]) -> list[str]:
    """Return the instances by their hash with the organisation, highest first."""

    def weigh(instance: str) -> tuple[int, str]:
        key = f"{organisation_id}|{instance}".encode()
        return xxhash.xxh64_intdigest(key), instance

    return sorted(instances, key=weigh, reverse=True)
