"""The kinds of configuration objects."""

import enum

__all__ = ["ObjectKind"]


class ObjectKind(enum.StrEnum):
    """The kind of a configuration object, as written in tickets."""

    ORGANISATION = "organisation"
    KEY = "key"
    ROUTE = "route"
    ENDPOINT = "endpoint"
    DATA_CENTRE = "data_centre"
    PLACEMENT = "placement"
