"""What data centres tell each other of their load."""

import attrs

__all__ = ["LoadSummary"]


@attrs.frozen
class LoadSummary:
    """The load of one route in one data centre.

    Attributes:
        data_centre: The data centre.
        route: The route's id.
        queueing_s: Seconds that a request waits there before it runs.
        free_slots: Slots of its endpoints that are free.
        age_s: Seconds since the summary was made.
        requests_per_s: Requests that its endpoints finish when all are busy.
        prefill_tokens_per_s: Mean speed of prefill of its endpoints.
    """

    data_centre: str
    route: str
    queueing_s: float
    free_slots: float
    age_s: float = 0.0
    requests_per_s: float = 1.0
    prefill_tokens_per_s: float = 4000.0
