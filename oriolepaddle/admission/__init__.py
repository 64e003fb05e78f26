"""Admission control: queueing before the endpoints, fairness and early refusals."""

from oriolepaddle.lazy import make_loader

__all__ = [
    "Admission",
    "AdmissionLimits",
    "AdmissionQueue",
    "AdmissionSlot",
    "Aim",
    "DueQueue",
    "EdgeQueue",
    "FairQueue",
    "QueueEntry",
    "QueueLimits",
    "QueuedRequest",
    "Waiter",
    "WaitingQueue",
]

__getattr__ = make_loader(
    __name__,
    {
        "admission": ("Admission",),
        "admission_limits": ("AdmissionLimits",),
        "admission_queue": ("AdmissionQueue",),
        "admission_slot": ("AdmissionSlot",),
        "aim": ("Aim",),
        "due_queue": ("DueQueue",),
        "edge_queue": ("EdgeQueue", "QueueEntry", "QueueLimits", "QueuedRequest"),
        "fair_queue": ("FairQueue",),
        "waiter": ("Waiter",),
        "waiting_queue": ("WaitingQueue",),
    },
)
