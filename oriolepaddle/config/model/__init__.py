"""The configuration objects that operators create."""

from oriolepaddle.config.model.data_centre import DataCentre
from oriolepaddle.config.model.endpoint import Endpoint
from oriolepaddle.config.model.key import Key
from oriolepaddle.config.model.kind import ObjectKind
from oriolepaddle.config.model.organisation import Organisation
from oriolepaddle.config.model.placement import Placement
from oriolepaddle.config.model.route import Route, RouteKind

__all__ = [
    "ConfigObject",
    "DataCentre",
    "Endpoint",
    "Key",
    "ObjectKind",
    "Organisation",
    "Placement",
    "Route",
    "RouteKind",
]

ConfigObject = Organisation | Key | Route | Endpoint | DataCentre | Placement
