"""What a saturated data centre aims for."""

import enum

__all__ = ["Aim"]


class Aim(enum.StrEnum):
    """The aim of the order in which waiting requests go on."""

    WORST_SERVED = "worst-served"
    TAIL_LATENCY = "tail-latency"
