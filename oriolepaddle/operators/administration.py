"""The interface behind the administration API."""

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
    """What an instance offers its operators."""

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
        """Return a configuration object, or None if it was never seen."""
        ...

    def order_state(self, number: str) -> str:
        """Return what is known of an order."""
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
        """Take the operator's word that no unlisted instance runs here."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the text form of Prometheus."""
        ...
