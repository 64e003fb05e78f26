"""The rows of the fault matrix."""

import enum

__all__ = ["Step"]


class Step(enum.Enum):
    """A step at which a fault occurs; the value is its heading on the page."""

    AUTHENTICATE = "request: authenticate"
    ROUTE = "request: route"
    SEND = "request: send"
    FIRST_BYTE = "request: first byte"
    MID_STREAM = "request: mid-stream"
    END = "request: end"
    ORDER_ISSUE = "order: issue"
    ORDER_BEFORE = "order: before the run"
    ORDER_DURING = "order: during the run"
    ORDER_AFTER = "order: after the run"
    ORDER_REPEAT = "order: repeat"
    PUBLISH = "ticket: publish"
    MERGE = "ticket: merge"
    SPREAD = "ticket: spread"
    CATCH_UP = "ticket: catch-up at start"
    BORROW = "limits: borrow"
    MINT = "limits: mint"
    RENEW = "limits: renew"
    TRANSFER = "limits: transfer (draw and settle)"
    HAND_OVER = "limits: hand over"
    JOIN = "join"
    DRAIN = "drain"
    COMMAND = "engine command"
    QUARANTINE = "quarantine report"
    SIGNAL = "endpoint signal"
