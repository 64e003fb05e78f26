"""The load that an endpoint reports in a response."""

import attrs

__all__ = ["USUAL_PACE", "ReportedLoad"]

USUAL_PACE = 100.0
"""The pace of an endpoint whose work takes as long as usual."""


@attrs.frozen
class ReportedLoad:
    """The load of an endpoint at the time of a response.

    Attributes:
        running: Number of running requests.
        waiting: Number of requests that wait for a slot.
        slots: Number of requests that it runs at the same time.
        pace: How long work takes there, in percent of the usual time; None if the
            endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None
