"""Choice of the instances whose addresses callers get."""

import math
from collections.abc import Sequence, Set
from datetime import timedelta
from typing import Protocol

import attrs
import xxhash

from oriolepaddle.catalog import Catalog

__all__ = ["SIZE_EXPONENT", "EntryInstance", "InstanceResolver", "LiveInstances"]

MAX_ADDRESSES = 6
"""Few enough to distribute callers by size, enough to tolerate several failures."""
HASH_RANGE = 2**64 + 1
SIZE_EXPONENT = 2
"""Exponent of an instance's size in its weight, above 1 to favour larger instances.
Instances learn of each other's placements up to a second late, so requests are
placed better by few instances with most of the callers than by many with few each."""
ADDRESS_TTL = timedelta(seconds=2)
"""Shorter than the time after which a stopped instance must not be listed."""


@attrs.frozen
class EntryInstance:
    """An instance that accepts callers.

    Attributes:
        id: The instance's id.
        region: The instance's region.
        data_centre: The instance's data centre.
        address: `host:port` of the instance's listener for callers.
        size: The instance's capacity relative to other instances.
    """

    id: str
    region: str
    data_centre: str
    address: str
    size: float = 1.0


class LiveInstances(Protocol):
    """Lists the instances from which messages were received recently."""

    def entry_instances(self) -> Sequence[EntryInstance]:
        """Return the instances that are ready, this one included."""
        ...

    def leaving_instances(self) -> Sequence[EntryInstance]:
        """Return the instances that are shutting down and still accept requests."""
        ...


class InstanceResolver:
    """Chooses instances for callers of a host.

    Callers get instances of their own region, as these accept any request and
    forward it to a region in which it may be served. If none is ready, for instance
    during a rolling restart, callers get those that are shutting down. If there are
    none either, they get those of regions in which every route of the host may be
    served, as the route is not known here; otherwise all.

    Each caller gets a small, mostly stable set. Larger instances are chosen more
    often than in proportion to their size: they have spare capacity, and the fewer
    instances place a region's requests, the more each one knows about the load of
    its endpoints.

    Args:
        catalog: Provides routes with their residency.
        live: Provides the instances.
    """

    def __init__(self, catalog: Catalog, live: LiveInstances) -> None:
        self._catalog = catalog
        self._live = live

    def resolve(self, host: str, region: str, caller: str) -> tuple[str, ...]:
        """Return the addresses for a caller.

        Args:
            host: The host of the caller's requests.
            region: The caller's region.
            caller: An identifier of the caller, such as its IP address.
        """
        ready = self._live.entry_instances()
        leaving = self._live.leaving_instances()
        candidates = (
            _filter_by_region(ready, {region})
            or _filter_by_region(leaving, {region})
            or _filter_by_region(ready, self._find_serving_regions(host))
            or ready
        )
        chosen = sorted(candidates, key=lambda item: _rank(item, caller))
        return tuple(item.address for item in chosen[:MAX_ADDRESSES])

    def _find_serving_regions(self, host: str) -> frozenset[str]:
        """Return the regions in which all routes of a host may be served."""
        document = self._catalog.document
        routes = document.routes.get(host.lower(), ()) if document else ()
        residencies = [
            frozenset(route.residency) for route in routes if route.residency
        ]
        if not residencies:
            return frozenset()
        return frozenset.intersection(*residencies) or frozenset.union(*residencies)


def _filter_by_region(
    instances: Sequence[EntryInstance], regions: Set[str]
) -> list[EntryInstance]:
    return [item for item in instances if item.region in regions]


def _rank(instance: EntryInstance, caller: str) -> float:
    # Weighted rendezvous hashing: each instance has the lowest value for a share
    # of the callers that is proportional to its weight.
    digest = xxhash.xxh3_64_intdigest(f"{caller}|{instance.id}".encode())
    return -math.log((digest + 1) / HASH_RANGE) / instance.size**SIZE_EXPONENT
