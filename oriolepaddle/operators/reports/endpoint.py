"""The report `EndpointReport`."""

import attrs

__all__ = ["EndpointReport"]


@attrs.frozen
class EndpointReport:
    """An endpoint as this instance sees it."""

    id: str
    data_centre: str
    address: str
    routes: tuple[str, ...]
    is_leaving: bool
    in_flight: float
    is_backing_off: bool
