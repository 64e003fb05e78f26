"""Groups of endpoints that serve the same requests."""

import attrs

from oriolepaddle.catalog.engine import EngineProfile

__all__ = ["EndpointService"]


@attrs.frozen
class EndpointService:
    """A service as published.

    Attributes:
        name: Its name, to which endpoints refer.
        health_path: The path of its health check.
        max_connections: Connections that one endpoint accepts from all callers.
        cold_requests_per_s: What an endpoint bears while it is cold; 0 if its
            endpoints do not start cold.
        engine: The engines' size, or None for plain services.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: EngineProfile | None = None
