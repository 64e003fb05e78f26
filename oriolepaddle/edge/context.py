"""What exchanges work with."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.catalog import Catalog
from oriolepaddle.clock import Clock
from oriolepaddle.edge.crash_register import CrashRegister
from oriolepaddle.edge.protocol import EdgeProtocol
from oriolepaddle.edge.regions import RegionChooser
from oriolepaddle.edge.retry_budget import RetryBudget
from oriolepaddle.edge.startup_retry import StartupRetry
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.limits import TokenLimiter
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.placement import Placer
from oriolepaddle.web.activity import Activity

__all__ = ["EdgeContext"]


@attrs.frozen
class EdgeContext:
    """The collaborators of each exchange.

    Attributes:
        clock: The time.
        catalog: Routes, keys and endpoints.
        protocol: The names on the wire.
        placer: Chooses endpoints of this region.
        regions: Chooses instances of other regions.
        limiter: Holds organisations to their rate.
        retry_budget: Bounds repeats.
        crashes: Requests that crash endpoints.
        transport: Reaches endpoints.
        peer_transport: Reaches other instances.
        activity: Requests in flight.
        metrics: Counters and histograms.
        region: This instance's region.
        max_catalog_age: The age of the catalog above which requests with a
            key are refused.
        startup_retry: Has requests wait while this instance comes up.
        count_instances: Returns how many instances of this region there are.
        is_refusing: Whether a new request that may last so many seconds is to go
            elsewhere.
    """

    clock: Clock
    catalog: Catalog
    protocol: EdgeProtocol
    placer: Placer
    regions: RegionChooser
    limiter: TokenLimiter
    retry_budget: RetryBudget
    crashes: CrashRegister
    transport: EndpointTransport
    peer_transport: EndpointTransport
    activity: Activity
    metrics: GatewayMetrics
    region: str
    max_catalog_age: timedelta
    startup_retry: StartupRetry
    count_instances: Callable[[], int]
    is_refusing: Callable[[float], bool]
