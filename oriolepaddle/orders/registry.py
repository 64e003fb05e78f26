"""The issuer's registry, which runs each order at most once."""

import secrets
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import OriolepaddleError, Outcome
from oriolepaddle.orders._errors import (
    answer_not_stored_error,
    as_not_run,
    draining_error,
    outcome_unknown_error,
)
from oriolepaddle.orders._record import OrderRecord, OrderRun, OrderState
from oriolepaddle.orders._sequences import SequenceSource
from oriolepaddle.orders._store import OrderStore
from oriolepaddle.orders._waiters import RunWaiters
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.answered import AnsweredOrder
from oriolepaddle.orders.codec import OrderNumberCodec
from oriolepaddle.orders.limits import OrderLimits
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderRegistry"]

BOOT_ID_BITS = 63


class OrderRegistry:
    """Issues order numbers and runs each order that it issued at most once.

    A number needs no state until it is used, as it contains its age. A number
    without a record counts as unused only if it has not expired and is above
    its organisation's floor. Any other number without a record fails with
    "outcome unknown". Thread-safe.

    Args:
        identity: This instance in its current incarnation.
        codec: Encodes and decodes order numbers.
        clock: The source of time.
        limits: Limits on what is stored.
        boot_id: A number unique to this process; generated if None.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        codec: OrderNumberCodec,
        clock: Clock,
        limits: OrderLimits | None = None,
        boot_id: int | None = None,
    ) -> None:
        self._identity = identity
        self._codec = codec
        self._clock = clock
        self._limits = limits or OrderLimits()
        self._boot_id = secrets.randbits(BOOT_ID_BITS) if boot_id is None else boot_id
        self._lock = threading.Lock()
        self._store = OrderStore(self._limits.max_bytes)
        self._sequences = SequenceSource(clock, self._limits.lifetime)
        self._last_sweep_s = clock.monotonic_s()
        self._in_flight = 0
        self._waiters = RunWaiters(
            clock, self._limits.max_waiters, self._limits.max_wait
        )
        self._is_draining = False
        self._is_closed = False
        self._idle = threading.Event()
        self._idle.set()

    @property
    def boot_id(self) -> int:
        """The number that distinguishes this process from others with its id."""
        return self._boot_id

    @property
    def in_flight(self) -> int:
        """The number of orders that are being run."""
        return self._in_flight

    @property
    def size_bytes(self) -> int:
        """The accounted size of the stored records and answers, in bytes."""
        return self._store.size_bytes

    @property
    def record_count(self) -> int:
        """The number of records of used order numbers."""
        with self._lock:
            return self._store.count

    def issue(self, organisation: str) -> str:
        """Return a new order number for an organisation.

        Raises:
            RefusedError: The instance is draining.
        """
        with self._lock:
            if self._is_draining:
                raise draining_error()
            sequence = self._sequences.generate()
        number = OrderNumber(self._identity, self._boot_id, sequence)
        return self._codec.write(number, organisation)

    def parse(self, number: str, organisation: str) -> OrderNumber:
        """Decode a number; see `OrderNumberCodec.parse`."""
        return self._codec.parse(number, organisation)

    def issuer(self, number: str) -> PeerIdentity:
        """Return the issuer of a number; see `OrderNumberCodec.issuer`."""
        return self._codec.issuer(number)

    def is_own(self, number: OrderNumber) -> bool:
        """Return whether this process issued a number."""
        return number.issuer == self._identity and number.boot_id == self._boot_id

    def is_used(self, number: str, organisation: str) -> bool:
        """Return whether an order issued by this process may have been sent."""
        parsed = self._codec.parse(number, organisation)
        with self._lock:
            try:
                return self._lookup(parsed, organisation, b"") is not None
            except OriolepaddleError:
                # The number was used for some request, or its record is gone.
                return True

    def run(
        self,
        number: str,
        organisation: str,
        request_digest: bytes,
        runner: Callable[[], OrderAnswer],
        recheck: Callable[[], None] | None = None,
        wait: timedelta | None = None,
    ) -> OrderAnswer:
        """Run an order, or return the answer of its first run.

        Args:
            number: The order number.
            organisation: The organisation whose key came with the request.
            request_digest: The digest of the parts that a repeat must not change.
            runner: Sends the request to an endpoint. An error of outcome
                `NOT_RUN` leaves the number unused; any other consumes it.
            recheck: Called just before `runner`. If it raises an
                `OriolepaddleError`, the number stays unused, as the order was
                not sent.
            wait: How long a repeat waits for the first run, at most
                `OrderLimits.max_wait`.

        Raises:
            RefusedError: Not run: the number is invalid, belongs to another
                request, or the instance is draining.
            OrderError: The outcome is unknown, or the answer is no longer stored.
            OriolepaddleError: An error of `recheck` or `runner`.
        """
        record, run, is_first = self._claim(number, organisation, request_digest)
        if is_first:
            return self._run_first(organisation, record, runner, recheck)
        return self._answer_repeat(record, run, wait)

    def find(
        self,
        number: str,
        organisation: str,
        request_digest: bytes,
        wait: timedelta | None = None,
    ) -> OrderAnswer | None:
        """Return the answer of an order that was run before, or None if unused.

        Raises:
            RefusedError: Not run: the number is invalid or belongs to another
                request.
            OrderError: The outcome is unknown, or the answer is no longer stored.
        """
        parsed = self._parse_own(number, organisation)
        with self._lock:
            record = self._lookup(parsed, organisation, request_digest)
            run = record.run if record else None
        return self._answer_repeat(record, run, wait) if record else None

    def begin_drain(self) -> None:
        """Refuse new orders from now on, but still answer repeats."""
        with self._lock:
            self._is_draining = True

    def drain(self, timeout: timedelta) -> int:
        """Refuse new orders and wait for those in flight.

        Afterwards, orders that were accepted but not yet sent are refused too.

        Args:
            timeout: The longest wait.

        Returns:
            The number of orders still in flight.
        """
        self.begin_drain()
        self._clock.wait(self._idle, timeout)
        with self._lock:
            self._is_closed = True
            return self._in_flight

    def answered_orders(self) -> tuple[AnsweredOrder, ...]:
        """Return the answered orders, to be transferred to a successor."""
        with self._lock:
            return tuple(
                AnsweredOrder(
                    record.sequence, organisation, record.digest, record.answer
                )
                for organisation, record in self._store
                if record.state is OrderState.ANSWERED
            )

    def _parse_own(self, number: str, organisation: str) -> OrderNumber:
        parsed = self._codec.parse(number, organisation)
        if not self.is_own(parsed):
            raise outcome_unknown_error("its issuer has left or restarted")
        return parsed

    def _claim(
        self, number: str, organisation: str, digest: bytes
    ) -> tuple[OrderRecord, OrderRun | None, bool]:
        parsed = self._parse_own(number, organisation)
        with self._lock:
            self._sweep()
            record = self._lookup(parsed, organisation, digest)
            if record is not None:
                return record, record.run, False
            if self._is_draining:
                raise draining_error()
            record = OrderRecord(parsed.sequence, digest, run=OrderRun())
            self._store.add(organisation, record)
            self._in_flight += 1
            self._idle.clear()
            return record, record.run, True

    def _lookup(
        self, parsed: OrderNumber, organisation: str, digest: bytes
    ) -> OrderRecord | None:
        highest_expired = self._sequences.highest_expired()
        return self._store.lookup(
            organisation, parsed.sequence, digest, highest_expired
        )

    def _sweep(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._last_sweep_s >= self._limits.sweep_interval.total_seconds():
            self._last_sweep_s = now_s
            self._store.expire(self._sequences.highest_expired())

    def _run_first(
        self,
        organisation: str,
        record: OrderRecord,
        runner: Callable[[], OrderAnswer],
        recheck: Callable[[], None] | None,
    ) -> OrderAnswer:
        failure: OriolepaddleError = outcome_unknown_error(
            "its run ended without an answer"
        )
        answer = None
        try:
            try:
                self._recheck(recheck)
            except OriolepaddleError as error:
                failure = as_not_run(error)
                raise failure from error
            answer = runner()
        except OriolepaddleError as error:
            failure = error
            raise
        finally:
            self._finish(organisation, record, answer, failure)
        return answer

    def _recheck(self, recheck: Callable[[], None] | None) -> None:
        # The process may have been suspended since the order was accepted.
        if self._is_closed:
            raise draining_error()
        if recheck is not None:
            recheck()

    def _finish(
        self,
        organisation: str,
        record: OrderRecord,
        answer: OrderAnswer | None,
        failure: OriolepaddleError,
    ) -> None:
        run = record.run
        with self._lock:
            if answer is not None:
                run.answer = answer
                retain_answer = answer.size_bytes <= self._limits.max_answer_bytes
                self._store.finish(organisation, record, retain_answer)
            elif failure.outcome is Outcome.NOT_RUN:
                run.error = failure
                self._store.release(organisation, record)
            else:
                run.error = failure
                self._store.finish(organisation, record, retain_answer=False)
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
        run.finished.set()

    def _answer_repeat(
        self, record: OrderRecord, run: OrderRun | None, wait: timedelta | None
    ) -> OrderAnswer:
        if run is not None:
            return self._waiters.wait(run, wait)
        answer = record.answer
        if answer is not None:
            return answer
        if record.state is OrderState.ANSWERED:
            raise answer_not_stored_error()
        raise outcome_unknown_error("its run failed without an answer")
