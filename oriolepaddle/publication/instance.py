"""Gateway instances, as listed by the platform."""

import enum

import attrs

__all__ = ["Instance", "InstanceList", "InstanceState"]


class InstanceState(enum.StrEnum):
    """The state of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """A gateway instance that receives requests from callers.

    Attributes:
        id: The instance's name, unique in the fleet.
        data_centre: Id of the data centre in which it runs.
        caller_address: `host:port` of its listener for callers.
        peer_address: `host:port` of its listener for other instances.
        state: Whether it is live or leaving.
        size: Capacity relative to other instances.
    """

    id: str
    data_centre: str
    caller_address: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    size: float = 1.0


@attrs.frozen
class InstanceList:
    """One reading of the platform's instance list, which lags behind the fleet.

    Attributes:
        instances: The listed instances.
        revision: The platform's revision of the list, which increases with each change.
        requested_at_s: The reader's monotonic time just before the request.
    """

    instances: tuple[Instance, ...]
    revision: int
    requested_at_s: float
