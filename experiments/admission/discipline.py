"""The orders and bounds that are compared."""

from collections.abc import Callable

import attrs

from experiments.admission.deadline_queue import DeadlineQueue
from experiments.admission.fifo_queue import FifoQueue
from oriolepaddle.admission import (
    AdmissionLimits,
    Aim,
    FairQueue,
    WaitingQueue,
)

__all__ = ["DISCIPLINES", "Discipline"]


@attrs.frozen
class Discipline:
    """An order of waiting requests with its bounds.

    Attributes:
        name: The row's name.
        make_queue: Makes a queue.
        limits: Its bounds.
    """

    name: str
    make_queue: Callable[[], WaitingQueue]
    limits: AdmissionLimits


DISCIPLINES = (
    Discipline("aim worst-served", FairQueue, AdmissionLimits.of(Aim.WORST_SERVED)),
    Discipline("aim tail-latency", FairQueue, AdmissionLimits.of(Aim.TAIL_LATENCY)),
    Discipline(
        "deadline, short wait", DeadlineQueue, AdmissionLimits.of(Aim.TAIL_LATENCY)
    ),
    Discipline("earliest deadline", DeadlineQueue, AdmissionLimits()),
    Discipline("first in first out", FifoQueue, AdmissionLimits()),
)
