"""The sendings of orders that reached an issuer."""

import threading
from collections import OrderedDict, deque

import attrs

from oriolepaddle.errors import ErrorCode, OriolepaddleError, RefusedError
from oriolepaddle.orders._failures import unknown

__all__ = ["Attempt", "AttemptId", "AttemptTable"]

WINDOW_SENDINGS = 1_024
MAX_SENDERS = 4_096
MAX_FINISHED = 1_024


@attrs.frozen
class AttemptId:
    """One sending of an order, numbered by its sender.

    Attributes:
        sender: The instance that passed the order on.
        incarnation: That instance's incarnation.
        sequence: The sender's number for the sending, from 1.
    """

    sender: str
    incarnation: int
    sequence: int


@attrs.define(eq=False)
class Attempt:
    """A sending that is or was worked on.

    Attributes:
        id: Its id.
        number: The order number that it carried.
        finished: Set when the work has ended.
        failure: Why there is no answer, or None.
    """

    id: AttemptId
    number: str
    finished: threading.Event = attrs.field(factory=threading.Event)
    failure: OriolepaddleError | None = None


@attrs.define(eq=False)
class _Window:
    """The sequences seen from one sender: a bit map below the highest."""

    incarnation: int
    highest: int = 0
    seen: int = 0

    def accept(self, sequence: int) -> bool:
        """Mark a sequence as seen; return whether it surely was not before."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, WINDOW_SENDINGS)
            self.seen = ((self.seen << shift) | 1) & ((1 << WINDOW_SENDINGS) - 1)
            self.highest = sequence
            return True
        bit = 1 << (self.highest - sequence)
        if self.highest - sequence >= WINDOW_SENDINGS or self.seen & bit:
            return False
        self.seen |= bit
        return True


class AttemptTable:
    """Lets each sending be worked on at most once. Thread-safe.

    Args:
        max_running: The most sendings worked on side by side.
    """

    def __init__(self, max_running: int) -> None:
        self._max_running = max_running
        self._lock = threading.Lock()
        self._windows: OrderedDict[str, _Window] = OrderedDict()
        self._sendings: dict[AttemptId, Attempt] = {}
        self._finished: deque[AttemptId] = deque()

    def begin(self, sending_id: AttemptId, number: str) -> Attempt:
        """Take up a sending.

        Raises:
            OrderError: It was seen before, or may have been.
            RefusedError: Too many are worked on.
        """
        with self._lock:
            if not self._accept(sending_id):
                raise unknown("this sending of it was seen before")
            if len(self._sendings) - len(self._finished) >= self._max_running:
                refusal = RefusedError("the issuer works on too many orders")
                self._keep_refusal(Attempt(sending_id, number), refusal)
                raise refusal
            sending = Attempt(sending_id, number)
            self._sendings[sending_id] = sending
            return sending

    def finish(self, sending: Attempt, failure: OriolepaddleError | None) -> None:
        """Note how the work on a sending ended."""
        with self._lock:
            self._finish(sending, failure)

    def recall(self, sending_id: AttemptId, number: str) -> Attempt:
        """Return a sending that was taken up or, if it had not arrived, refused.

        One that is refused so will not be taken up when it arrives.

        Raises:
            OrderError: It arrived, and what became of it is forgotten.
        """
        with self._lock:
            sending = self._sendings.get(sending_id)
            if sending is not None and sending.number == number:
                return sending
            if sending is not None or not self._accept(sending_id):
                raise unknown("what became of this sending is forgotten")
            sending = Attempt(sending_id, number)
            refusal = RefusedError(
                "the order did not reach its issuer", code=ErrorCode.PEER_UNAVAILABLE
            )
            self._keep_refusal(sending, refusal)
            return sending

    def _keep_refusal(self, sending: Attempt, refusal: RefusedError) -> None:
        # Kept, because the reply that tells of it may be lost.
        self._sendings[sending.id] = sending
        self._finish(sending, refusal)

    def _finish(self, sending: Attempt, failure: OriolepaddleError | None) -> None:
        sending.failure = failure
        self._finished.append(sending.id)
        if len(self._finished) > MAX_FINISHED:
            del self._sendings[self._finished.popleft()]
        sending.finished.set()

    def _accept(self, sending_id: AttemptId) -> bool:
        window = self._windows.get(sending_id.sender)
        if window is None or window.incarnation < sending_id.incarnation:
            window = _Window(sending_id.incarnation)
            self._windows[sending_id.sender] = window
        self._windows.move_to_end(sending_id.sender)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        if window.incarnation != sending_id.incarnation:
            return False
        return window.accept(sending_id.sequence)
