"""The Prometheus metrics of an instance."""

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
ERROR_BUCKETS = (0.25, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0, 8.0, 16.0)
QUEUE_BUCKETS_S = (0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class GatewayMetrics:
    """The counters, histograms and gauges of one instance.

    Each instance has its own registry, so that several instances can run
    in one process.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = self._add_counter(
            "requests", "Requests that were answered.", "route"
        )
        self.refusals = self._add_counter(
            "refusals", "Requests that ended with an error code.", "reason", "outcome"
        )
        self.retries = self._add_counter(
            "retry_decisions", "Decisions after failed tries.", "action", "reason"
        )
        self.alternatives = self._add_counter(
            "alternative_attempts",
            "Attempts beside one that seemed lost, by how they ended.",
            "outcome",
        )
        self.crash_events = self._add_counter(
            "crash_events", "Events around crashes of endpoints.", "event"
        )
        self.signal_events = self._add_counter(
            "signal_events", "Events around what endpoints say of themselves.", "event"
        )
        self.forwards = self._add_counter(
            "forwards", "Requests passed on to a data centre.", "data_centre"
        )
        self.prefix_fetches = self._add_counter(
            "prefix_fetches", "Requests whose prompt's beginning may be fetched."
        )
        self.output_tokens = self._add_counter(
            "output_tokens", "Tokens passed on.", "route"
        )
        self.queue_time = self._add_histogram(
            "queue_seconds", "Time waiting for an endpoint.", QUEUE_BUCKETS_S
        )
        self.first_byte_time = self._add_histogram(
            "first_byte_seconds", "Time to the first byte.", FIRST_BYTE_BUCKETS_S
        )
        self.prediction_error = self._add_histogram(
            "prediction_error_ratio",
            "Time to the first byte by the expected one, where a pace is reported.",
            ERROR_BUCKETS,
        )
        self.token_time = self._add_histogram(
            "between_tokens_seconds", "Time between chunks.", TOKEN_BUCKETS_S
        )

    def count_crash_event(self, event: str) -> None:
        """Count an event around crashes of endpoints."""
        self.crash_events.labels(event).inc()

    def count_signal_event(self, event: str) -> None:
        """Count an event around what endpoints say of themselves."""
        self.signal_events.labels(event).inc()

    def add_gauge(
        self, name: str, description: str, read_value: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read when the metrics are rendered.

        Args:
            name: The gauge's name, after the prefix, with its unit.
            description: The gauge's help text.
            read_value: Returns the value.
        """
        gauge = Gauge(f"oriolepaddle_{name}", description, registry=self._registry)
        gauge.set_function(read_value)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def _add_counter(self, name: str, description: str, *labels: str) -> Counter:
        return Counter(
            f"oriolepaddle_{name}", description, labels, registry=self._registry
        )

    def _add_histogram(
        self, name: str, description: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return Histogram(
            f"oriolepaddle_{name}",
            description,
            buckets=buckets,
            registry=self._registry,
        )
