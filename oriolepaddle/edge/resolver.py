"""Telling callers which instances to use."""

import math
from collections.abc import Sequence, Set
from datetime import timedelta
from typing import Protocol

import attrs
import xxhash

from oriolepaddle.catalog import Catalog

__all__ = ["EntryInstance", "InstanceResolver", "LiveInstances"]

MAX_ADDRESSES = 6
"""Few enough to spread callers by size, enough to outlive several losses."""
HASH_RANGE = 2**64 + 1
SIZE_EXPONENT = 2
"""How much more often a larger instance is named than its size alone would have it.
Instances learn of each other's placements up to a second late, so that few with
most of the callers place better than many with some each."""
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

    def leaving_instances(self) -> Sequence[EntryInstance]:
        """Return those that have begun to stop and still serve for a while."""
        ...


class InstanceResolver:
    """Chooses instances for callers of a host.

    Callers get instances of their own region, as these may take any request
    and pass it on to where it may be served. Where none is ready, as in a
    restart of one after the other, they get those that have only begun to stop.
    Where there are none either, they get those of regions in which every route
    of the host may be served, as callers do not tell the route; else all.

    Each caller gets few and mostly the same ones. Larger instances are named more
    often than in proportion to their size: they have room to spare, and the fewer
    instances place a region's requests, the more each one knows of its endpoints.

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
        leaving = self._live.leaving_instances()
        found = (
            _select(ready, {region})
            or _select(leaving, {region})
            or _select(ready, self._find_homes(host))
            or ready
        )
        chosen = sorted(found, key=lambda item: _weigh(item, caller))
        return tuple(item.address for item in chosen[:MAX_ADDRESSES])

    def _find_homes(self, host: str) -> frozenset[str]:
        """Return the regions in which all routes of a host may be served."""
        document = self._catalog.document
        routes = document.routes.get(host.lower(), ()) if document else ()
        bound = [frozenset(route.residency) for route in routes if route.residency]
        if not bound:
            return frozenset()
        return frozenset.intersection(*bound) or frozenset.union(*bound)


def _select(
    instances: Sequence[EntryInstance], regions: Set[str]
) -> list[EntryInstance]:
    return [item for item in instances if item.region in regions]


def _weigh(instance: EntryInstance, caller: str) -> float:
    # Weighted rendezvous hashing: the least values fall on instances in
    # proportion to their weights.
    drawn = xxhash.xxh3_64_intdigest(f"{caller}|{instance.id}".encode())
    return -math.log((drawn + 1) / HASH_RANGE) / instance.size**SIZE_EXPONENT
