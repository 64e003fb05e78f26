"""Regions in which a request may be served."""

from oriolepaddle.config import ConfigState
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["AllowedRegions"]


class AllowedRegions:
    """The regions in which one request may be served.

    The residencies of its organisation and of its route both bind it, as it
    carries them and as the configuration has them now: a ticket may have
    narrowed them since the request came in.

    Args:
        request: The request.
        config: The configuration.
    """

    def __init__(self, request: RoutingRequest, config: ConfigState) -> None:
        holders = [request.route, config.route(request.route.id)]
        if request.organisation is not None:
            current = config.organisation(request.organisation.id)
            holders += [request.organisation, current]
        bounds = [
            frozenset(holder.residency)
            for holder in holders
            if holder is not None and holder.residency
        ]
        self._config = config
        self._regions = frozenset.intersection(*bounds) if bounds else None

    @property
    def is_bound(self) -> bool:
        """Whether some regions are excluded."""
        return self._regions is not None

    def contains(self, data_centre: str) -> bool:
        """Return whether a data centre stands in an allowed region.

        One that is not configured has no known region; only a request that
        may run anywhere may run there.
        """
        if self._regions is None:
            return True
        known = self._config.data_centre(data_centre)
        return known is not None and known.region in self._regions
