"""The state that an issuer stores for one order."""

import enum
import threading

import attrs

from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.limits import RECORD_BYTES

__all__ = ["OrderRecord", "OrderRun", "OrderState"]


class OrderState(enum.Enum):
    """The progress of an order."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class OrderRun:
    """The run of an order, shared with the repeats that wait for it.

    Attributes:
        finished: Set after `answer` or `error`.
        answer: The endpoint's answer.
        error: The error if there is no answer.
    """

    finished: threading.Event = attrs.field(factory=threading.Event)
    answer: OrderAnswer | None = None
    error: OriolepaddleError | None = None


@attrs.define(eq=False)
class OrderRecord:
    """The record of a used order number.

    Attributes:
        sequence: The number's sequence.
        digest: The digest of the request that first used it.
        state: The progress of the order.
        run: The run while it is in flight, else None.
        answer: The stored answer; None if it was evicted or there was none.
    """

    sequence: int
    digest: bytes
    state: OrderState = OrderState.RUNNING
    run: OrderRun | None = None
    answer: OrderAnswer | None = None

    @property
    def size_bytes(self) -> int:
        """The accounted size of the record, including its answer."""
        return RECORD_BYTES + (self.answer.size_bytes if self.answer else 0)
