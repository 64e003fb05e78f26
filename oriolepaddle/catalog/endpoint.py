"""Endpoints that register themselves."""

import enum

import attrs

__all__ = ["EndpointState", "RegisteredEndpoint"]


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class RegisteredEndpoint:
    """An endpoint by its own word.

    Attributes:
        id: Its name.
        started_at_ms: Unix milliseconds of its start, which tells its lives
            apart; 0 if it does not say.
        service: The service that it runs.
        address: `host:port`.
        data_centre: Where it stands.
        slots: Requests that it runs side by side.
        state: Whether it takes new work.
        cold_until_s: Monotonic time until which it is cold.
        weights: The version of its software.
    """

    id: str
    started_at_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: EndpointState
    cold_until_s: float = 0.0
    weights: str = ""

    @property
    def incarnation(self) -> str:
        """The name of this life of the endpoint."""
        return f"{self.id}@{self.started_at_ms}"
