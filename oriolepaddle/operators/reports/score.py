"""The report `ScoreReport`."""

import attrs

__all__ = ["ScoreReport"]


@attrs.frozen
class ScoreReport:
    """One candidate of a routing decision; a lower score is better."""

    target: str
    total_s: float
    queueing_s: float
    prefill_s: float
    network_s: float
