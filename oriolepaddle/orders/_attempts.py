"""Deduplication of the attempts that deliver an order to its issuer."""

import threading
from collections import OrderedDict, deque

import attrs

from oriolepaddle.errors import ErrorCode, OriolepaddleError, RefusedError
from oriolepaddle.orders._errors import outcome_unknown_error

__all__ = ["Attempt", "AttemptId", "AttemptTable"]

WINDOW_ATTEMPTS = 1_024
MAX_SENDERS = 4_096
MAX_FINISHED = 1_024


@attrs.frozen
class AttemptId:
    """The id of one attempt to deliver an order, assigned by its sender.

    Attributes:
        sender: The instance that forwarded the order.
        incarnation: That instance's incarnation.
        sequence: The sender's sequence number of the attempt, from 1.
    """

    sender: str
    incarnation: int
    sequence: int


@attrs.define(eq=False)
class Attempt:
    """An attempt that was received or refused in advance.

    Attributes:
        id: The id of the attempt.
        number: The order number that it carries.
        finished: Set when the processing has ended.
        failure: The error if there is no answer, or None.
    """

    id: AttemptId
    number: str
    finished: threading.Event = attrs.field(factory=threading.Event)
    failure: OriolepaddleError | None = None


@attrs.define(eq=False)
class _Window:
    """Sequences received from one sender, as a bitmap below the highest."""

    incarnation: int
    highest: int = 0
    received_bits: int = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence; return whether it is guaranteed to be new."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, WINDOW_ATTEMPTS)
            self.received_bits = ((self.received_bits << shift) | 1) & (
                (1 << WINDOW_ATTEMPTS) - 1
            )
            self.highest = sequence
            return True
        bit = 1 << (self.highest - sequence)
        if self.highest - sequence >= WINDOW_ATTEMPTS or self.received_bits & bit:
            return False
        self.received_bits |= bit
        return True


class AttemptTable:
    """Ensures that each attempt is processed at most once. Thread-safe.

    Args:
        max_running: The limit on attempts that are processed concurrently.
    """

    def __init__(self, max_running: int) -> None:
        self._max_running = max_running
        self._lock = threading.Lock()
        self._windows: OrderedDict[str, _Window] = OrderedDict()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._finished: deque[AttemptId] = deque()

    def begin(self, attempt_id: AttemptId, number: str) -> Attempt:
        """Register an attempt that is about to be processed.

        Raises:
            OrderError: It was received before, or may have been.
            RefusedError: Too many attempts are being processed.
        """
        with self._lock:
            if not self._accept(attempt_id):
                raise outcome_unknown_error("this attempt was already received")
            if len(self._attempts) - len(self._finished) >= self._max_running:
                refusal = RefusedError("the issuer is running too many orders")
                self._store_refusal(Attempt(attempt_id, number), refusal)
                raise refusal
            attempt = Attempt(attempt_id, number)
            self._attempts[attempt_id] = attempt
            return attempt

    def finish(self, attempt: Attempt, failure: OriolepaddleError | None) -> None:
        """Record that the processing of an attempt ended, with its failure if any."""
        with self._lock:
            self._finish(attempt, failure)

    def find_or_refuse(self, attempt_id: AttemptId, number: str) -> Attempt:
        """Return a received attempt, or refuse one that has not arrived yet.

        An attempt refused this way is not processed when it arrives later.

        Raises:
            OrderError: It was received, but its result is no longer stored.
        """
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None and attempt.number == number:
                return attempt
            if attempt is not None or not self._accept(attempt_id):
                raise outcome_unknown_error(
                    "the result of this attempt is no longer stored"
                )
            attempt = Attempt(attempt_id, number)
            refusal = RefusedError(
                "the order did not reach its issuer", code=ErrorCode.PEER_UNAVAILABLE
            )
            self._store_refusal(attempt, refusal)
            return attempt

    def _store_refusal(self, attempt: Attempt, refusal: RefusedError) -> None:
        # The reply with the refusal may be lost, and the sender then queries again.
        self._attempts[attempt.id] = attempt
        self._finish(attempt, refusal)

    def _finish(self, attempt: Attempt, failure: OriolepaddleError | None) -> None:
        attempt.failure = failure
        self._finished.append(attempt.id)
        if len(self._finished) > MAX_FINISHED:
            del self._attempts[self._finished.popleft()]
        attempt.finished.set()

    def _accept(self, attempt_id: AttemptId) -> bool:
        window = self._windows.get(attempt_id.sender)
        if window is None or window.incarnation < attempt_id.incarnation:
            window = _Window(attempt_id.incarnation)
            self._windows[attempt_id.sender] = window
        self._windows.move_to_end(attempt_id.sender)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        if window.incarnation != attempt_id.incarnation:
            return False
        return window.accept(attempt_id.sequence)
