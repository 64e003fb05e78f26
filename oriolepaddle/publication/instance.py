"""Entry instances as the platform lists them."""

import enum

import attrs

__all__ = ["Instance", "InstanceList", "InstanceState"]


class InstanceState(enum.StrEnum):
    """The state in which the platform lists an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """An entry instance.

    Attributes:
        id: Its name, unique over the fleet.
        data_centre: The data centre that it stands in.
        caller_address: `host:port` of its listener for callers.
        peer_address: `host:port` of its listener for other instances.
        state: Whether it is live or leaving.
        size: Its capacity relative to other instances.
    """

    id: str
    data_centre: str
    caller_address: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    size: float = 1.0


@attrs.frozen
class InstanceList:
    """One reading of the platform's list, which lags behind the fleet.

    Attributes:
        instances: The listed instances.
        revision: The platform's revision of the list; it grows with changes.
        requested_at_s: The reader's monotonic time just before it asked.
    """

    instances: tuple[Instance, ...]
    revision: int
    requested_at_s: float
