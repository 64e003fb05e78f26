"""The report `ExplainedRoute`."""

import attrs

from oriolepaddle.operators.reports.score import ScoreReport

__all__ = ["ExplainedRoute"]


@attrs.frozen
class ExplainedRoute:
    """Where a request would be sent, and why."""

    endpoint: str | None
    data_centre: str | None
    refusal: str | None
    scores: tuple[ScoreReport, ...]
