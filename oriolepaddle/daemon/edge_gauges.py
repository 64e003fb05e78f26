"""The gauges of an instance that one document configures."""

from collections.abc import Callable, Mapping

from oriolepaddle.metrics import GatewayMetrics

__all__ = ["add_gauges"]

GAUGES = {
    "config_ticket": "Version of the configuration.",
    "config_age_seconds": "Time since the configuration was surely the newest.",
    "endpoints_age_seconds": (
        "Time since the known endpoints were surely all there were."
    ),
    "store_calls": "Calls to the store so far.",
    "peers_reachable": "Instances that were heard of late.",
    "requests_in_flight": "Requests being served.",
    "ready": "1 while callers may be sent here.",
    "draining": "1 while the instance stops.",
}


def add_gauges(
    metrics: GatewayMetrics, values: Mapping[str, Callable[[], float]]
) -> None:
    """Add the gauges to an instance's metrics.

    Args:
        metrics: Gets the gauges.
        values: Reads each gauge's value, by its name.
    """
    for name, text in GAUGES.items():
        metrics.add_gauge(name, text, values[name])
