"""The interface that the administration API calls."""

from typing import Protocol

from oriolepaddle.operators.reports import (
    EndpointReport,
    ExplainedRoute,
    InstanceReport,
    LimitReport,
    ObjectReport,
    QuarantineReport,
    StatusReport,
)

__all__ = ["Administration"]


class Administration(Protocol):
    """The reports and actions that an instance offers its operators."""

    def status(self) -> StatusReport:
        """Return the instance's state."""
        ...

    def instances(self) -> tuple[InstanceReport, ...]:
        """Return the other instances."""
        ...

    def endpoints(self) -> tuple[EndpointReport, ...]:
        """Return the endpoints of the data centre."""
        ...

    def limit(self, organisation: str) -> LimitReport | None:
        """Return an organisation's limit, or None if it is not configured."""
        ...

    def explain(
        self, route: str, organisation: str | None, prompt: str
    ) -> ExplainedRoute:
        """Return where a request would go, and why."""
        ...

    def find_object(self, kind: str, object_id: str) -> ObjectReport | None:
        """Return a configuration object, or None if none was ever received."""
        ...

    def order_state(self, number: str) -> str:
        """Return the state of an order, as far as this instance knows it."""
        ...

    def quarantined(self) -> tuple[QuarantineReport, ...]:
        """Return the requests that are suspected or quarantined."""
        ...

    def clear_quarantine(self, fingerprint: str) -> bool:
        """Clear one request; return whether it was there."""
        ...

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        ...

    def allow_cold_start(self) -> None:
        """Accept the operator's confirmation that no unlisted instance runs here."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        ...
