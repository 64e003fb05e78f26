"""The queue disciplines to compare."""

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
    """A queue type with its limits.

    Attributes:
        name: The label of the row.
        make_queue: Creates a queue.
        limits: The limits of the queue.
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
