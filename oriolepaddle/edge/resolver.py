"""Telling callers which instances to use."""

import math
from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import attrs
import xxhash

from oriolepaddle.catalog import Catalog

__all__ = ["EntryInstance", "InstanceResolver", "LiveInstances"]

MAX_ADDRESSES = 6
"""Few enough to spread callers by size, enough to outlive several losses."""
HASH_RANGE = 2**64 + 1
VALID_FOR = timedelta(seconds=2)
"""Shorter than the time in which an instance that is gone must go unnamed."""


@attrs.frozen
class EntryInstance:
    """An instance that takes callers.

    Attributes:
        id: Its id.
        region: Its region.
        data_centre: Its data centre.
        address: `host:port` of its listener for callers.
        size: Its capacity relative to other instances.
    """

    id: str
    region: str
    data_centre: str
    address: str
    size: float = 1.0


class LiveInstances(Protocol):
    """Knows the instances that were heard of late."""

    def entry_instances(self) -> Sequence[EntryInstance]:
        """Return the instances that are ready, this one included."""
        ...


class InstanceResolver:
    """Chooses instances for callers of a host.

    Callers get instances of their own region, as these may take any request
    and pass it on to where it may be served; where none is ready, they get
    those of the host's regions of residency, or else all. Each caller gets few
    and mostly the same ones, in proportion to the instances' sizes, so that a
    small instance is not filled like a large one.

    Args:
        catalog: Routes with their residency.
        live: The instances.
    """

    def __init__(self, catalog: Catalog, live: LiveInstances) -> None:
        self._catalog = catalog
        self._live = live

    def resolve(self, host: str, region: str, caller: str) -> tuple[str, ...]:
        """Return the addresses for a caller.

        Args:
            host: The host that it will ask for.
            region: The region that it calls from.
            caller: What tells it from other callers.
        """
        ready = self._live.entry_instances()
        near = [item for item in ready if item.region == region]
        homes = self._find_homes(host)
        found = near or [item for item in ready if not homes or item.region in homes]
        chosen = sorted(found or ready, key=lambda item: _weigh(item, caller))
        return tuple(item.address for item in chosen[:MAX_ADDRESSES])

    def _find_homes(self, host: str) -> frozenset[str]:
        document = self._catalog.document
        routes = document.routes.get(host.lower(), ()) if document else ()
        if not routes or not all(route.residency for route in routes):
            return frozenset()
        return frozenset(name for route in routes for name in route.residency)


def _weigh(instance: EntryInstance, caller: str) -> float:
    # Weighted rendezvous hashing: the least values fall on instances in
    # proportion to their sizes.
    drawn = xxhash.xxh3_64_intdigest(f"{caller}|{instance.id}".encode())
    return -math.log((drawn + 1) / HASH_RANGE) / instance.size
