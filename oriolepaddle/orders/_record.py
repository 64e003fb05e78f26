"""What an issuer knows of one order."""

import enum
import threading

import attrs

from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.limits import RECORD_BYTES

__all__ = ["OrderRecord", "OrderRun", "OrderState"]


class OrderState(enum.Enum):
    """How far an order has come."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class OrderRun:
    """The one run of an order, while it lasts and for those that wait for it.

    Attributes:
        finished: Set when `answer` or `error` is.
        answer: The endpoint's answer.
        error: Why there is none.
    """

    finished: threading.Event = attrs.field(factory=threading.Event)
    answer: OrderAnswer | None = None
    error: OriolepaddleError | None = None


@attrs.define(eq=False)
class OrderRecord:
    """One used order number.

    Attributes:
        sequence: The number's sequence.
        digest: The digest of the request that first used it.
        state: How far the order has come.
        run: The run, while it lasts.
        answer: The kept answer; None if it was dropped or never came.
    """

    sequence: int
    digest: bytes
    state: OrderState = OrderState.RUNNING
    run: OrderRun | None = None
    answer: OrderAnswer | None = None

    @property
    def size_bytes(self) -> int:
        """What the record counts for."""
        return RECORD_BYTES + (self.answer.size_bytes if self.answer else 0)
