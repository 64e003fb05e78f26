"""What instances hand each other of the catalog."""

import attrs

from oriolepaddle.catalog.endpoint import RegisteredEndpoint

__all__ = ["CatalogSnapshot"]


@attrs.frozen
class CatalogSnapshot:
    """The endpoints and evacuations that an instance knows.

    Attributes:
        age_s: Seconds since the endpoints were surely all there were.
        endpoints: The endpoints; `cold_until_s` holds the seconds left.
        evacuated: Evacuated data centres by where they are published.
    """

    age_s: float
    endpoints: tuple[RegisteredEndpoint, ...]
    evacuated: dict[str, str]
