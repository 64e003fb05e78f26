"""What endpoints say of themselves in their answers."""

from oriolepaddle.signals.board import SignalBoard
from oriolepaddle.signals.entries import LeavingEntry, LimitEntry
from oriolepaddle.signals.pauses import EndpointPauses
from oriolepaddle.signals.permits import LIMIT_PREFIX, EndpointPermits
from oriolepaddle.signals.signals import EndpointSignals

__all__ = [
    "LIMIT_PREFIX",
    "EndpointPauses",
    "EndpointPermits",
    "EndpointSignals",
    "LeavingEntry",
    "LimitEntry",
    "SignalBoard",
]
