"""The peer service through which other instances forward orders."""

from concurrent.futures import Executor
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, OriolepaddleError, RefusedError
from oriolepaddle.orders._attempts import Attempt, AttemptId, AttemptTable
from oriolepaddle.orders._errors import (
    as_not_run,
    draining_error,
    outcome_unknown_error,
)
from oriolepaddle.orders._wire import make_reply, read_handover, read_request
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.archive import OrderArchive
from oriolepaddle.orders.registry import OrderRegistry
from oriolepaddle.orders.request import OrderRequest
from oriolepaddle.orders.runner import OrderRunner
from oriolepaddle.peers.gen_py.orders import ttypes

__all__ = ["OrderHandler"]

MAX_HOPS = 1


class OrderHandler:
    """Handles the `Orders` service; it never calls a peer.

    The executor processes an attempt, and the call returns "pending" after a
    short wait. A peer link carries one call at a time and must not be blocked
    while an endpoint processes the order.

    Args:
        registry: The registry of this instance.
        archive: The orders that this instance stores for issuers that left.
        runner: Sends orders to endpoints.
        executor: Processes the attempts.
        clock: The source of time.
        poll_wait: The longest duration of one call.
        max_running: The limit on attempts that are processed concurrently; the
            executor needs as many threads.
    """

    def __init__(
        self,
        registry: OrderRegistry,
        archive: OrderArchive,
        runner: OrderRunner,
        executor: Executor,
        clock: Clock,
        poll_wait: timedelta = timedelta(milliseconds=200),
        max_running: int = 16,
    ) -> None:
        self._registry = registry
        self._archive = archive
        self._runner = runner
        self._executor = executor
        self._clock = clock
        self._poll_wait = poll_wait
        self._attempts = AttemptTable(max_running)

    def run(self, call: ttypes.OrderCall) -> ttypes.OrderReply:
        """Run an order that this instance issued, or answer a repeat."""
        return make_reply(lambda: self._run(call))

    def collect(self, call: ttypes.CollectCall) -> ttypes.OrderReply:
        """Return the result of an attempt.

        An attempt that has not arrived yet is refused permanently.
        """
        return make_reply(lambda: self._collect(call))

    def find(self, call: ttypes.FindCall) -> ttypes.OrderReply:
        """Return the answer of an order that its issuer transferred here."""
        return make_reply(lambda: self._find(call))

    def keep(self, call: ttypes.HandoverCall) -> ttypes.HandoverReply:
        """Store the answered orders of a leaving issuer."""
        added = self._archive.store(read_handover(call))
        return ttypes.HandoverReply(kept=added)

    def _run(self, call: ttypes.OrderCall) -> OrderAnswer | None:
        if len(call.hops) != MAX_HOPS:
            raise RefusedError(
                f"the order was forwarded by {len(call.hops)} instances",
                code=ErrorCode.HOP_LIMIT,
            )
        request = read_request(call, self._clock.monotonic_s())
        self._check_issuer(call.number, call.organisation)
        attempt_id = AttemptId(call.hops[0], call.sender_incarnation, call.sending)
        attempt = self._attempts.begin(attempt_id, call.number)
        try:
            self._executor.submit(self._execute, attempt, request)
        except RuntimeError:
            self._attempts.finish(attempt, draining_error())
        return self._await(attempt, request.organisation, request.digest())

    def _collect(self, call: ttypes.CollectCall) -> OrderAnswer | None:
        self._check_issuer(call.number, call.organisation)
        attempt_id = AttemptId(call.sender, call.sender_incarnation, call.sending)
        attempt = self._attempts.find_or_refuse(attempt_id, call.number)
        return self._await(attempt, call.organisation, call.digest)

    def _find(self, call: ttypes.FindCall) -> OrderAnswer:
        number = self._registry.parse(call.number, call.organisation)
        return self._archive.find(number, call.organisation, call.digest)

    def _check_issuer(self, number: str, organisation: str) -> None:
        if not self._registry.is_own(self._registry.parse(number, organisation)):
            raise outcome_unknown_error("its issuer has left or restarted")

    def _execute(self, attempt: Attempt, request: OrderRequest) -> None:
        failure: OriolepaddleError | None = outcome_unknown_error("the issuer failed")
        try:
            self._run_order(attempt.number, request)
            failure = None
        except OriolepaddleError as error:
            failure = error
        finally:
            self._attempts.finish(attempt, failure)

    def _run_order(self, number: str, request: OrderRequest) -> None:
        def recheck() -> None:
            """Refuse the order if it may no longer be sent."""
            try:
                self._check_deadline(request)
                self._runner.check(request)
            except OriolepaddleError as error:
                raise as_not_run(error) from error

        remaining_s = max(0.0, request.deadline_s - self._clock.monotonic_s())
        self._registry.run(
            number,
            request.organisation,
            request.digest(),
            runner=lambda: self._runner.run(request, recheck),
            recheck=recheck,
            wait=timedelta(seconds=remaining_s),
        )

    def _check_deadline(self, request: OrderRequest) -> None:
        if self._clock.monotonic_s() >= request.deadline_s:
            raise RefusedError(
                "the order's deadline passed before it was sent",
                code=ErrorCode.DEADLINE_UNREACHABLE,
            )

    def _await(
        self, attempt: Attempt, organisation: str, digest: bytes
    ) -> OrderAnswer | None:
        if not self._clock.wait(attempt.finished, self._poll_wait):
            return None
        if attempt.failure is not None:
            raise attempt.failure
        # Answers are stored only in the registry, which limits their memory.
        return self._registry.find(attempt.number, organisation, digest)
