"""Data residency: the regions in which a request may be served."""

from oriolepaddle.config import ConfigState
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["AllowedRegions"]


class AllowedRegions:
    """The regions in which one request may be served.

    This is the intersection of the residencies of its organisation and its route, both
    as of its arrival and as configured now: a ticket may have restricted them since the
    request arrived.

    Args:
        request: The request.
        config: The configuration.
    """

    def __init__(self, request: RoutingRequest, config: ConfigState) -> None:
        residency_sources = [request.route, config.route(request.route.id)]
        if request.organisation is not None:
            configured_organisation = config.organisation(request.organisation.id)
            residency_sources += [request.organisation, configured_organisation]
        region_sets = [
            frozenset(item.residency)
            for item in residency_sources
            if item is not None and item.residency
        ]
        self._config = config
        self._regions = frozenset.intersection(*region_sets) if region_sets else None

    @property
    def is_restricted(self) -> bool:
        """Whether the regions are restricted."""
        return self._regions is not None

    def contains(self, data_centre: str) -> bool:
        """Return whether a data centre is in an allowed region.

        The region of a data centre that is not configured is unknown, so only
        unrestricted requests may run there.
        """
        if self._regions is None:
            return True
        configured = self._config.data_centre(data_centre)
        return configured is not None and configured.region in self._regions
