"""The published configuration, as one versioned document, and the endpoints."""

from oriolepaddle.catalog.caller_limits import CallerLimits
from oriolepaddle.catalog.catalog import Catalog
from oriolepaddle.catalog.checks import check_endpoint
from oriolepaddle.catalog.document import ConfigDocument
from oriolepaddle.catalog.endpoint import EndpointState, RegisteredEndpoint
from oriolepaddle.catalog.engine import EngineProfile
from oriolepaddle.catalog.follower import CatalogFollower
from oriolepaddle.catalog.host_route import HostRoute, RepeatRule, ServiceWeight
from oriolepaddle.catalog.organisation import RatedOrganisation
from oriolepaddle.catalog.service import EndpointService
from oriolepaddle.catalog.snapshot import CatalogSnapshot
from oriolepaddle.catalog.source import (
    CatalogChange,
    CatalogReading,
    CatalogSource,
    HistoryGoneError,
)

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogChange",
    "CatalogFollower",
    "CatalogReading",
    "CatalogSnapshot",
    "CatalogSource",
    "ConfigDocument",
    "EndpointService",
    "EndpointState",
    "EngineProfile",
    "HistoryGoneError",
    "HostRoute",
    "RatedOrganisation",
    "RegisteredEndpoint",
    "RepeatRule",
    "ServiceWeight",
    "check_endpoint",
]
