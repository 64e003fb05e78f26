"""The components that request handling uses."""

import random
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.admission import EdgeQueue
from oriolepaddle.buffers import BufferBudget
from oriolepaddle.catalog import Catalog
from oriolepaddle.clock import Clock
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.edge.drain import Drain
from oriolepaddle.edge.liveness import LivenessCheck
from oriolepaddle.edge.protocol import EdgeProtocol
from oriolepaddle.edge.regions import RegionChooser
from oriolepaddle.edge.retry_budget import FleetRetryBudget
from oriolepaddle.edge.startup_retry import StartupRetry
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.limits import TokenLimiter
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.placement import Placer
from oriolepaddle.signals import EndpointPermits, PaceBoard, SignalBoard
from oriolepaddle.web.activity import Activity

__all__ = ["EdgeContext"]


@attrs.frozen
class EdgeContext:
    """Components shared by all requests of an instance.

    Attributes:
        clock: The source of time.
        catalog: Routes, keys and endpoints.
        protocol: Encodes and decodes HTTP headers.
        placer: Chooses endpoints of this region.
        regions: Chooses instances of other regions.
        limiter: Enforces the rate limits of organisations.
        retry_budget: Bounds the number of retries.
        crashes: What crashed endpoints.
        signals: What endpoints say of themselves.
        permits: Permits for endpoints with a limit.
        paces: The paces that endpoints report.
        liveness: Tells whether an endpoint has ended.
        transport: Sends requests to endpoints.
        peer_transport: Sends requests to other instances.
        activity: Counts requests in flight.
        metrics: Counters and histograms.
        region: This instance's region.
        max_catalog_age: The age of the catalog above which requests with a
            key are refused.
        startup_retry: Retries admission while this instance starts.
        count_instances: Returns the number of instances of this region.
        drain: Decides what is still served while this instance shuts down.
        generator: The source of randomness for retry delays.
        buffers: Bounds the bytes that requests hold in memory.
        queue: Requests that wait while others need the endpoints sooner.
    """

    clock: Clock
    catalog: Catalog
    protocol: EdgeProtocol
    placer: Placer
    regions: RegionChooser
    limiter: TokenLimiter
    retry_budget: FleetRetryBudget
    crashes: CrashRegister
    signals: SignalBoard
    permits: EndpointPermits
    paces: PaceBoard
    liveness: LivenessCheck
    transport: EndpointTransport
    peer_transport: EndpointTransport
    activity: Activity
    metrics: GatewayMetrics
    region: str
    max_catalog_age: timedelta
    startup_retry: StartupRetry
    count_instances: Callable[[], int]
    drain: Drain
    generator: random.Random
    buffers: BufferBudget
    queue: EdgeQueue
