"""What a saturated data centre aims for."""

import enum

__all__ = ["Aim"]


class Aim(enum.StrEnum):
    """What to aim for when the endpoints are full.

    Organisations share alike with both. `WORST_SERVED` lets requests wait long,
    so that a burst is served rather than refused. `TAIL_LATENCY` refuses early
    what would wait.
    """

    WORST_SERVED = "worst-served"
    TAIL_LATENCY = "tail-latency"
