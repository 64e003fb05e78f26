"""What a request must pass before it is placed."""

from datetime import timedelta

import attrs

from oriolepaddle.catalog import ConfigDocument, HostRoute, RatedOrganisation
from oriolepaddle.config import digest_key
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.regions import Residency, allows_region
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import AuthenticationError, ErrorCode, RefusedError

__all__ = ["AdmittedRequest", "admit", "check_catalog_age"]

RETURN_AFTER = timedelta(milliseconds=300)
"""The pause of callers that are refused as this instance is not ready."""


@attrs.frozen
class AdmittedRequest:
    """A request with what the configuration says of it.

    Attributes:
        version: The version of the configuration.
        route: The route.
        service: The service that is to run it.
        organisation: For whom it runs; None on open routes and where no keys
            are needed.
    """

    version: int
    route: HostRoute
    service: str
    organisation: RatedOrganisation | None

    @property
    def residency(self) -> Residency:
        """Where the request may be served, by its route and organisation."""
        held = self.organisation
        own = held.organisation.residency if held else ()
        return (self.route.residency, own)

    def allows_region(self, region: str) -> bool:
        """Return whether the request may be served in a region."""
        return allows_region(self.residency, region)

    def is_placed_like(self, other: "AdmittedRequest") -> bool:
        """Return whether both may run at the same places, with or without a key."""
        return (
            self.service == other.service
            and self.residency == other.residency
            and (self.organisation is None) == (other.organisation is None)
        )


def admit(context: EdgeContext, request: EdgeRequest) -> AdmittedRequest:
    """Return the request with its route and organisation.

    Raises:
        RefusedError: No configuration is known, it is too old, or no route
            serves the request.
        AuthenticationError: The request shows no valid key.
    """
    document = context.catalog.document
    if document is None:
        raise RefusedError(
            "no configuration is known yet",
            code=ErrorCode.NOT_READY,
            retry_after=RETURN_AFTER,
        )
    route = document.find_route(request.host, request.path)
    if route is None:
        check_catalog_age(context)
        raise RefusedError("no route serves this path", code=ErrorCode.ROUTE_UNKNOWN)
    organisation = None
    if document.needs_keys and not route.open:
        check_catalog_age(context)
        organisation = _authenticate(document, request)
    return AdmittedRequest(
        document.version, route, route.pick_service(request.id), organisation
    )


def check_catalog_age(context: EdgeContext) -> None:
    """Check that a withdrawn key would be known.

    Raises:
        RefusedError: The store, or a peer that reads it, was not heard lately.
    """
    age_s = context.catalog.age_s()
    if age_s > context.max_catalog_age.total_seconds():
        raise RefusedError(
            f"the configuration was last confirmed {age_s:.2f} s ago",
            code=ErrorCode.NOT_READY,
            retry_after=RETURN_AFTER,
        )


def _authenticate(document: ConfigDocument, request: EdgeRequest) -> RatedOrganisation:
    if request.key is None:
        raise AuthenticationError("this route needs a key", code=ErrorCode.KEY_MISSING)
    organisation = document.organisations.get(digest_key(request.key))
    if organisation is None:
        raise AuthenticationError("the key is unknown or withdrawn")
    return organisation
