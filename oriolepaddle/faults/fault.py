"""The columns of the fault matrix."""

import enum

__all__ = ["Fault"]


class Fault(enum.Enum):
    """A kind of fault; the value is its heading on the page."""

    KILL = "kill"
    FREEZE = "freeze and wake"
    CUT_ONE_WAY = "cut one way"
    CUT_BOTH_WAYS = "cut both ways"
    SLOW = "slow"
    SILENT = "silent connection"
    PLATFORM_DOWN = "platform down"
    PLATFORM_STALE = "platform stale"
    LIST_LATE = "list late"
    LOST = "message lost"
    LATE = "message late"
    DOUBLED = "message doubled"
    RACING = "operators racing"
