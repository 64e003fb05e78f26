"""Data centres and the regions that they belong to."""

import attrs

__all__ = ["DataCentre"]


@attrs.frozen
class DataCentre:
    """A data centre.

    Attributes:
        id: Its name.
        region: The region that it belongs to.
        weight: Its part of each organisation's rate and burst, relative to
            the other data centres.
    """

    id: str
    region: str
    weight: float = 1.0
