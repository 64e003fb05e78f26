"""What endpoints say of themselves in their answers."""

from oriolepaddle.signals.board import SignalBoard
from oriolepaddle.signals.entries import LeavingEntry, LimitEntry
from oriolepaddle.signals.pace import EndpointPace, PaceEstimate
from oriolepaddle.signals.paces import PaceBoard
from oriolepaddle.signals.pauses import EndpointPauses
from oriolepaddle.signals.permits import LIMIT_PREFIX, EndpointPermits
from oriolepaddle.signals.reported_load import USUAL_PACE, ReportedLoad
from oriolepaddle.signals.signals import EndpointSignals

__all__ = [
    "LIMIT_PREFIX",
    "USUAL_PACE",
    "EndpointPace",
    "EndpointPauses",
    "EndpointPermits",
    "EndpointSignals",
    "LeavingEntry",
    "LimitEntry",
    "PaceBoard",
    "PaceEstimate",
    "ReportedLoad",
    "SignalBoard",
]
