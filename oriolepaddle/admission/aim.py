"""Objectives of admission at saturation."""

import enum

__all__ = ["Aim"]


class Aim(enum.StrEnum):
    """The objective when the endpoints are saturated.

    Both share capacity fairly among organisations. `WORST_SERVED` allows long waits, so
    that a burst is served rather than refused. `TAIL_LATENCY` refuses early what would
    have to wait.
    """

    WORST_SERVED = "worst-served"
    TAIL_LATENCY = "tail-latency"
