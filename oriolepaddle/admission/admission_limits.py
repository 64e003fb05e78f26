"""Limits of the admission queue."""

import attrs

from oriolepaddle.admission.aim import Aim

__all__ = ["AdmissionLimits"]

TAIL_LATENCY_WAIT_S = 1.0


@attrs.frozen
class AdmissionLimits:
    """How many requests may wait, and for how long.

    Attributes:
        queue_length: Maximum number of waiting requests.
        wait_s: Maximum wait of a request in seconds.
    """

    queue_length: int = 200
    wait_s: float = 20.0

    @classmethod
    def of(cls, aim: Aim) -> "AdmissionLimits":
        """Return the default limits of an aim."""
        return cls() if aim is Aim.WORST_SERVED else cls(wait_s=TAIL_LATENCY_WAIT_S)
