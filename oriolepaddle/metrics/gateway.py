"""What an instance counts and measures."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["GatewayMetrics"]

FIRST_BYTE_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 6.0, 15.0, 60.0)
TOKEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.069, 0.1, 0.2, 0.5, 1.0, 5.0)
QUEUE_BUCKETS_S = (0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class GatewayMetrics:
    """The counters, histograms and gauges of one instance.

    Each instance has a registry of its own, so that several instances can run
    in one process.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = self._count("requests", "Requests that were answered.", "route")
        self.refusals = self._count(
            "refusals", "Requests that ended with an error code.", "reason", "outcome"
        )
        self.retries = self._count(
            "retry_decisions", "Decisions after failed tries.", "action", "reason"
        )
        self.forwards = self._count(
            "forwards", "Requests passed on to a data centre.", "data_centre"
        )
        self.prefix_fetches = self._count(
            "prefix_fetches", "Requests whose prompt's beginning may be fetched."
        )
        self.output_tokens = self._count("output_tokens", "Tokens passed on.", "route")
        self.queue_time = self._measure(
            "queue_seconds", "Time waiting for an endpoint.", QUEUE_BUCKETS_S
        )
        self.first_byte_time = self._measure(
            "first_byte_seconds", "Time to the first byte.", FIRST_BYTE_BUCKETS_S
        )
        self.token_time = self._measure(
            "between_tokens_seconds", "Time between chunks.", TOKEN_BUCKETS_S
        )

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when metrics are asked for.

        Args:
            name: The gauge's name, after the prefix, with its unit.
            text: What it shows.
            read: Returns the value.
        """
        gauge = Gauge(f"oriolepaddle_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the text form of Prometheus."""
        return generate_latest(self._registry)

    def _count(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"oriolepaddle_{name}", text, labels, registry=self._registry)

    def _measure(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"oriolepaddle_{name}", text, buckets=buckets, registry=self._registry
        )
