"""Admission control: queueing before the endpoints, fairness and early refusals."""

from oriolepaddle.admission.admission import Admission
from oriolepaddle.admission.admission_limits import AdmissionLimits
from oriolepaddle.admission.admission_queue import AdmissionQueue
from oriolepaddle.admission.admission_slot import AdmissionSlot
from oriolepaddle.admission.aim import Aim
from oriolepaddle.admission.fair_queue import FairQueue
from oriolepaddle.admission.waiter import Waiter
from oriolepaddle.admission.waiting_queue import WaitingQueue

__all__ = [
    "Admission",
    "AdmissionLimits",
    "AdmissionQueue",
    "AdmissionSlot",
    "Aim",
    "FairQueue",
    "Waiter",
    "WaitingQueue",
]
