"""The part of the catalog that instances send each other."""

import attrs

from oriolepaddle.catalog.endpoint import RegisteredEndpoint

__all__ = ["CatalogSnapshot"]


@attrs.frozen
class CatalogSnapshot:
    """The endpoints and evacuations in an instance's catalog.

    Attributes:
        age_s: Seconds since the endpoints were last confirmed as complete.
        endpoints: The endpoints; `cold_until_s` is the remaining time in seconds.
        evacuated: Evacuated data centres by the key that publishes the evacuation.
    """

    age_s: float
    endpoints: tuple[RegisteredEndpoint, ...]
    evacuated: dict[str, str]
