"""Admission of requests: route lookup, authentication and catalog freshness."""

from datetime import timedelta

import attrs

from oriolepaddle.catalog import ConfigDocument, HostRoute, RatedOrganisation
from oriolepaddle.config import digest_key
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.regions import Residency, allows_region
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import AuthenticationError, ErrorCode, RefusedError

__all__ = ["AdmittedRequest", "admit", "check_catalog_age"]

RETRY_AFTER = timedelta(milliseconds=300)
"""Retry delay sent to callers that are refused because this instance is not ready."""


@attrs.frozen
class AdmittedRequest:
    """The configuration that applies to an admitted request.

    Attributes:
        version: The version of the configuration.
        route: The route that matches the request.
        service: The service that is to run the request.
        organisation: The organisation that owns the key; None on open routes
            and where the configuration requires no keys.
    """

    version: int
    route: HostRoute
    service: str
    organisation: RatedOrganisation | None

    @property
    def residency(self) -> Residency:
        """The residency constraints of the route and of the organisation."""
        rated = self.organisation
        own_regions = rated.organisation.residency if rated else ()
        return (self.route.residency, own_regions)

    def allows_region(self, region: str) -> bool:
        """Return whether the request may be served in a region."""
        return allows_region(self.residency, region)

    def is_placed_like(self, other: "AdmittedRequest") -> bool:
        """Return whether the service and the residency are the same."""
        return self.service == other.service and self.residency == other.residency

    def is_charged_like(self, other: "AdmittedRequest") -> bool:
        """Return whether the request runs for the same organisation, or for none."""
        return self._organisation_id == other._organisation_id

    @property
    def _organisation_id(self) -> str | None:
        return self.organisation.id if self.organisation else None


def admit(context: EdgeContext, request: EdgeRequest) -> AdmittedRequest:
    """Find the route and the organisation of a request.

    Raises:
        RefusedError: No configuration is loaded, it is stale, or no route
            matches the request.
        AuthenticationError: The request has no valid key.
    """
    document = context.catalog.document
    if document is None:
        raise RefusedError(
            "no configuration is loaded yet",
            code=ErrorCode.NOT_READY,
            retry_after=RETRY_AFTER,
        )
    route = document.find_route(request.host, request.path)
    if route is None:
        check_catalog_age(context)
        raise RefusedError(
            "no route matches this host and path", code=ErrorCode.ROUTE_UNKNOWN
        )
    organisation = None
    if document.needs_keys and not route.open:
        check_catalog_age(context)
        organisation = _authenticate(document, request)
    return AdmittedRequest(
        document.version, route, route.pick_service(request.id), organisation
    )


def check_catalog_age(context: EdgeContext) -> None:
    """Check that the catalog is recent enough to contain the withdrawal of a key.

    Raises:
        RefusedError: The configuration was not confirmed recently, neither by the
            store nor by a peer that reads it.
    """
    age_s = context.catalog.age_s()
    if age_s > context.max_catalog_age.total_seconds():
        raise RefusedError(
            f"the configuration was last confirmed {age_s:.2f} s ago",
            code=ErrorCode.NOT_READY,
            retry_after=RETRY_AFTER,
        )


def _authenticate(document: ConfigDocument, request: EdgeRequest) -> RatedOrganisation:
    if request.key is None:
        raise AuthenticationError(
            "this route requires an API key", code=ErrorCode.KEY_MISSING
        )
    organisation = document.keys.get(digest_key(request.key))
    if organisation is None:
        raise AuthenticationError("the API key is unknown or withdrawn")
    return organisation
