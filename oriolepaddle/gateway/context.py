"""The components that serve requests."""

import attrs

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.clock import Clock
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.gateway.admissions import RouteAdmissions
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.forwarder import Forwarder
from oriolepaddle.limits import TokenLimiter
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.quarantine import Quarantine
from oriolepaddle.retries import RetryPolicy
from oriolepaddle.routing import Router
from oriolepaddle.web.activity import Activity

__all__ = ["ServingContext"]


@attrs.frozen
class ServingContext:
    """The components that all exchanges of an instance share."""

    clock: Clock
    router: Router
    admissions: RouteAdmissions
    limiter: TokenLimiter
    quarantine: Quarantine
    retries: RetryPolicy
    transport: EndpointTransport
    health: HealthChecker
    forwarder: Forwarder
    authenticator: Authenticator
    staleness: StalenessGuard
    activity: Activity
    metrics: GatewayMetrics
    stall_timeout_s: float
    buffers: BufferBudget
