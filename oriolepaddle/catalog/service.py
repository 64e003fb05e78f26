"""Services: groups of endpoints that serve the same requests."""

import attrs

from oriolepaddle.catalog.engine import EngineProfile

__all__ = ["EndpointService"]


@attrs.frozen
class EndpointService:
    """A service of the published document.

    Attributes:
        name: The service's name, to which endpoints refer.
        health_path: The path of the health check.
        max_connections: The number of connections that one endpoint accepts from
            all callers together.
        cold_requests_per_s: The request rate that a cold endpoint can serve; 0 if
            endpoints of the service don't start cold.
        engine: The size of the engines, or None for services without engines.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: EngineProfile | None = None
