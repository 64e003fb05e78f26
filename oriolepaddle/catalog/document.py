"""The configuration as one document."""

import attrs

from oriolepaddle.catalog.caller_limits import CallerLimits
from oriolepaddle.catalog.host_route import HostRoute
from oriolepaddle.catalog.organisation import RatedOrganisation
from oriolepaddle.catalog.service import EndpointService

__all__ = ["ConfigDocument"]


@attrs.frozen
class ConfigDocument:
    """One version of the whole configuration.

    Attributes:
        version: Higher versions replace lower ones.
        routes: Routes by host, ordered from the longest prefix to the shortest.
        services: Services by name.
        organisations: Organisations by id, also those without a key. None if the
            document has no list of organisations: only then is no key required.
        keys: Organisations by the SHA-256 of each of their keys.
        limits: Limits on callers' connections and requests.
        source: The document as published, to be sent to peers that don't have it.
    """

    version: int
    routes: dict[str, tuple[HostRoute, ...]]
    services: dict[str, EndpointService]
    organisations: dict[str, RatedOrganisation] | None
    keys: dict[str, RatedOrganisation]
    limits: CallerLimits
    source: bytes = attrs.field(repr=False, eq=False)

    def find_organisation(self, organisation_id: str) -> RatedOrganisation | None:
        """Return the organisation with an id, or None."""
        return (self.organisations or {}).get(organisation_id)

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix that matches a path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not open require an API key."""
        return self.organisations is not None
