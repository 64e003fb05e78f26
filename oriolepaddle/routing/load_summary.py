"""Load summaries that data centres exchange."""

import attrs

__all__ = ["LoadSummary"]


@attrs.frozen
class LoadSummary:
    """The load of one route in one data centre.

    Attributes:
        data_centre: The data centre.
        route: The route's id.
        queueing_s: Expected seconds that a request waits there before it runs.
        free_slots: Free slots of its endpoints.
        age_s: Seconds since the summary was made.
        requests_per_s: Throughput of its endpoints when all slots are busy.
        prefill_tokens_per_s: Mean prefill speed of its endpoints, weighted by
            throughput.
    """

    data_centre: str
    route: str
    queueing_s: float
    free_slots: float
    age_s: float = 0.0
    requests_per_s: float = 1.0
    prefill_tokens_per_s: float = 4000.0
