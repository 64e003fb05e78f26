"""Data centres and their regions."""

import attrs

__all__ = ["DataCentre"]


@attrs.frozen
class DataCentre:
    """A data centre.

    Attributes:
        id: The data centre's name.
        region: The region that it belongs to.
        weight: Relative share of each organisation's rate and burst that the data
            centre gets.
    """

    id: str
    region: str
    weight: float = 1.0
