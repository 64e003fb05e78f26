"""The issuer's side of an order that another instance passes on."""

from concurrent.futures import Executor
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, OriolepaddleError, RefusedError
from oriolepaddle.orders._attempts import Attempt, AttemptId, AttemptTable
from oriolepaddle.orders._failures import draining, not_sent, unknown
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

    A sending is worked on by the executor, and a call returns "pending" after a
    short wait: a peer link carries one call at a time and must stay free for
    others while an endpoint works.

    Args:
        registry: This instance's guard.
        archive: What this instance keeps of instances that left.
        runner: Sends orders to endpoints.
        executor: Works on the sendings.
        clock: The source of time.
        poll_wait: The longest that one call takes.
        max_running: The most sendings worked on side by side; give the
            executor as many threads.
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
        self._sendings = AttemptTable(max_running)

    def run(self, call: ttypes.OrderCall) -> ttypes.OrderReply:
        """Run an order that this instance issued, or answer a repeat."""
        return make_reply(lambda: self._run(call))

    def collect(self, call: ttypes.CollectCall) -> ttypes.OrderReply:
        """Tell what became of a sending; one not yet here is refused for good."""
        return make_reply(lambda: self._collect(call))

    def find(self, call: ttypes.FindCall) -> ttypes.OrderReply:
        """Answer a repeat of an order whose issuer handed it over."""
        return make_reply(lambda: self._find(call))

    def keep(self, call: ttypes.HandoverCall) -> ttypes.HandoverReply:
        """Keep the answered orders of a leaving issuer."""
        kept = self._archive.store(read_handover(call))
        return ttypes.HandoverReply(kept=kept)

    def _run(self, call: ttypes.OrderCall) -> OrderAnswer | None:
        if len(call.hops) != MAX_HOPS:
            raise RefusedError(
                f"the order came by way of {len(call.hops)} instances",
                code=ErrorCode.HOP_LIMIT,
            )
        request = read_request(call, self._clock.monotonic_s())
        self._check_own(call.number, call.organisation)
        sending_id = AttemptId(call.hops[0], call.sender_incarnation, call.sending)
        sending = self._sendings.begin(sending_id, call.number)
        try:
            self._executor.submit(self._work, sending, request)
        except RuntimeError:
            self._sendings.finish(sending, draining())
        return self._await(sending, request.organisation, request.digest())

    def _collect(self, call: ttypes.CollectCall) -> OrderAnswer | None:
        self._check_own(call.number, call.organisation)
        sending_id = AttemptId(call.sender, call.sender_incarnation, call.sending)
        sending = self._sendings.recall(sending_id, call.number)
        return self._await(sending, call.organisation, call.digest)

    def _find(self, call: ttypes.FindCall) -> OrderAnswer:
        number = self._registry.parse(call.number, call.organisation)
        return self._archive.find(number, call.organisation, call.digest)

    def _check_own(self, number: str, organisation: str) -> None:
        if not self._registry.is_own(self._registry.parse(number, organisation)):
            raise unknown("its issuer is gone")

    def _work(self, sending: Attempt, request: OrderRequest) -> None:
        failure: OriolepaddleError | None = unknown("the issuer failed")
        try:
            self._run_order(sending.number, request)
            failure = None
        except OriolepaddleError as error:
            failure = error
        finally:
            self._sendings.finish(sending, failure)

    def _run_order(self, number: str, request: OrderRequest) -> None:
        def recheck() -> None:
            """Refuse the order if it may no longer be sent."""
            try:
                self._check_deadline(request)
                self._runner.check(request)
            except OriolepaddleError as error:
                raise not_sent(error) from error

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
        self, sending: Attempt, organisation: str, digest: bytes
    ) -> OrderAnswer | None:
        if not self._clock.wait(sending.finished, self._poll_wait):
            return None
        if sending.failure is not None:
            raise sending.failure
        # The registry's copy is the only one, so that memory is bounded there.
        return self._registry.find(sending.number, organisation, digest)
