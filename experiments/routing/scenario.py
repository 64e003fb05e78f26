"""The scenarios: load and faults."""

import attrs

__all__ = ["SCENARIOS", "Scenario"]


@attrs.frozen
class Scenario:
    """The load and faults of one run.

    Attributes:
        name: The label in the table.
        load: Mean load, as a share of the capacity of all slots.
        report_lag_s: Age of load reports on arrival, in seconds.
        event_lag_s: Age of cache events on arrival, in seconds.
        event_loss: Share of the batches of cache events that are lost.
        failed_region: A region whose endpoints are all down for some time, or None.
        instances: Gateway instances of each data centre.
        report_interval_s: Seconds between two load reports of an endpoint.
        summary_interval_s: Seconds between two summaries of a data centre.
        is_steady: Whether to leave out bursts and the greedy organisation.
        warm_up_s: Time before the measurement, in seconds.
        measured_s: Duration of the measurement, in seconds.
        crashes: Endpoints of each data centre that crash, one after another.
    """

    name: str
    load: float
    report_lag_s: float = 1.0
    event_lag_s: float = 2.0
    event_loss: float = 0.05
    failed_region: str | None = None
    crashes: int = 0
    instances: int = 6
    report_interval_s: float = 1.0
    summary_interval_s: float = 1.0
    is_steady: bool = False
    warm_up_s: float = 40.0
    measured_s: float = 120.0

    @property
    def duration_s(self) -> float:
        """The duration of the run with the warm-up, in seconds."""
        return self.warm_up_s + self.measured_s


SCENARIOS = (
    Scenario("light", load=0.1, warm_up_s=300.0, measured_s=300.0),
    Scenario("calm", load=0.5),
    Scenario("busy", load=0.8),
    Scenario("region lost", load=0.5, failed_region="sudur"),
    Scenario("crashes", load=0.5, crashes=3),
    Scenario("stale", load=0.5, report_lag_s=10.0, event_lag_s=10.0, event_loss=0.3),
)
