"""Endpoints that register themselves."""

import enum

import attrs

__all__ = ["EndpointState", "RegisteredEndpoint"]


class EndpointState(enum.StrEnum):
    """The state that an endpoint reports."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class RegisteredEndpoint:
    """An endpoint as it registered itself.

    Attributes:
        id: The endpoint's name.
        started_at_ms: Unix time of its start in milliseconds, which distinguishes
            its incarnations; 0 if not reported.
        service: The service that it runs.
        address: `host:port`.
        data_centre: The data centre in which it runs.
        slots: The number of requests that it runs concurrently.
        state: Whether it accepts new requests.
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
        """The name of this incarnation of the endpoint."""
        return f"{self.id}@{self.started_at_ms}"
