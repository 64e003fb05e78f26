"""Routes that are selected by host and path."""

import enum
from datetime import timedelta

import attrs
import xxhash

__all__ = ["HostRoute", "RepeatRule", "ServiceWeight"]

HASH_RANGE = 2**64


class RepeatRule(enum.StrEnum):
    """What may be sent to an endpoint again after it may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@attrs.frozen
class ServiceWeight:
    """A service of a route and its part of the route's requests.

    Attributes:
        service: The service's name.
        weight: Its part, relative to the route's other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class HostRoute:
    """A route of one host.

    Attributes:
        name: Its name, for logs and metrics.
        host: The host that it belongs to.
        path_prefix: The start of the paths that it serves.
        services: The services that run its requests.
        repeat_rule: Whether a request may be run more than once.
        is_stream: Whether its answers are event streams.
        timeout: The longest that a caller is kept waiting.
        target: The time to the first byte for which an answer is on time.
        longest_gap: The longest pause between events for which a stream is on
            time.
        priority: Its rank, 0 first.
        max_attempts: Endpoints to which one request may be sent.
        open: Whether it needs no key.
        residency: Regions in which it may be served; empty for any.
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
        """Return the service of one request, by the weights."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(item.weight for item in self.services)
        point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_RANGE * total
        for item in self.services:
            point -= item.weight
            if point < 0:
                return item.service
        return self.services[-1].service
