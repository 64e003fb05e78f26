"""Telling callers which instances to use."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import attrs

from oriolepaddle.catalog import Catalog

__all__ = ["EntryInstance", "InstanceResolver", "LiveInstances"]

MAX_ADDRESSES = 64
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
    """Orders instances for callers of a host.

    Callers get the instances of their own region, as these may take any
    request and pass it on to where it may be served; where none is ready, they
    get those of the host's regions of residency, or else all.

    Args:
        catalog: Routes with their residency.
        live: The instances.
    """

    def __init__(self, catalog: Catalog, live: LiveInstances) -> None:
        self._catalog = catalog
        self._live = live

    def resolve(self, host: str, region: str) -> tuple[str, ...]:
        """Return the addresses for a caller, the nearest first.

        Args:
            host: The host that it will ask for.
            region: The region that it calls from.
        """
        ready = self._live.entry_instances()
        near = [item for item in ready if item.region == region]
        homes = self._find_homes(host)
        found = near or [item for item in ready if not homes or item.region in homes]
        return tuple(item.address for item in (found or ready)[:MAX_ADDRESSES])

    def _find_homes(self, host: str) -> frozenset[str]:
        document = self._catalog.document
        routes = document.routes.get(host.lower(), ()) if document else ()
        if not routes or not all(route.residency for route in routes):
            return frozenset()
        return frozenset(name for route in routes for name in route.residency)
