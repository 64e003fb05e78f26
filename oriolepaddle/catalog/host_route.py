"""Routes that are selected by host and path."""

import enum
from datetime import timedelta

import attrs
import xxhash

__all__ = ["HostRoute", "RepeatRule", "ServiceWeight"]

HASH_RANGE = 2**64


class RepeatRule(enum.StrEnum):
    """Whether a request may be sent again after an endpoint may have run it."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@attrs.frozen
class ServiceWeight:
    """A service of a route and its share of the route's requests.

    Attributes:
        service: The service's name.
        weight: The service's share, relative to the route's other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class HostRoute:
    """A route of one host.

    Attributes:
        name: The route's name, for logs and metrics.
        host: The host that the route belongs to.
        path_prefix: The prefix of the paths that the route matches.
        services: The services that run the requests.
        repeat_rule: Whether a request may be run more than once.
        is_stream: Whether responses are event streams.
        timeout: The longest time that a caller waits for the response.
        target: The time to the first byte within which a response is on time.
        longest_gap: The longest pause between events for which a stream is on
            time.
        priority: The route's rank, 0 first.
        max_attempts: The number of endpoints that may run one request.
        open: Whether the route requires no API key.
        residency: Regions in which requests may be served; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[ServiceWeight, ...]
    repeat_rule: RepeatRule
    is_stream: bool
    timeout: timedelta
    target: timedelta
    longest_gap: timedelta | None = None
    priority: int = 0
    max_attempts: int = 1
    open: bool = False
    residency: tuple[str, ...] = ()

    def pick_service(self, request_id: str) -> str:
        """Return the service of one request, chosen by the weights and its id."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(item.weight for item in self.services)
        point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_RANGE * total
        for item in self.services:
            point -= item.weight
            if point < 0:
                return item.service
        return self.services[-1].service
