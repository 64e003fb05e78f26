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
        routes: Routes by host, those with longer prefixes first.
        services: Services by name.
        organisations: Organisations by the SHA-256 of each of their keys.
        limits: Bounds on what callers send.
        source: The document as it was published, for peers that lack it.
    """

    version: int
    routes: dict[str, tuple[HostRoute, ...]]
    services: dict[str, EndpointService]
    organisations: dict[str, RatedOrganisation]
    limits: CallerLimits
    source: bytes = attrs.field(repr=False, eq=False)
    _by_id: dict[str, RatedOrganisation] = attrs.field(init=False, repr=False, eq=False)

    @_by_id.default
    def _index_organisations(self) -> dict[str, RatedOrganisation]:
        return {item.id: item for item in self.organisations.values()}

    def find_organisation(self, organisation_id: str) -> RatedOrganisation | None:
        """Return the organisation of an id that holds a key, or None."""
        return self._by_id.get(organisation_id)

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the route of the longest prefix that begins a path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not open need a key."""
        return bool(self.organisations)
