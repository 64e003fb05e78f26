"""The gauges of an edge instance."""

from collections.abc import Callable, Mapping

from oriolepaddle.metrics import GatewayMetrics

__all__ = ["add_gauges"]

DESCRIPTIONS = {
    "config_ticket": "Version of the configuration.",
    "config_age_seconds": "Time since the configuration was surely the newest.",
    "endpoints_age_seconds": (
        "Time since the known endpoints were surely all there were."
    ),
    "store_calls": "Calls to the store so far.",
    "peers_reachable": "Instances that were heard of late.",
    "requests_in_flight": "Requests being served.",
    "malformed_requests": "Requests that could not be read, so far.",
    "descriptors": "Open descriptors of the process; -1 if they can't be counted.",
    "idle_endpoint_connections": "Kept connections to endpoints and instances.",
    "buffered_bytes": "Bytes of bodies held in memory.",
    "buffers_refused": "Bodies or parts that found no memory, so far.",
    "paced_endpoints": "Endpoints that have reported their pace.",
    "ready": "1 while callers may be sent here.",
    "draining": "1 while the instance stops.",
}


def add_gauges(
    metrics: GatewayMetrics, values: Mapping[str, Callable[[], float]]
) -> None:
    """Add the gauges to an instance's metrics.

    Args:
        metrics: The metrics that the gauges are added to.
        values: Functions that read each gauge's value, by the gauge's name.
    """
    for name, description in DESCRIPTIONS.items():
        metrics.add_gauge(name, description, values[name])
