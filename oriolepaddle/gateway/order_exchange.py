"""Orders: non-idempotent requests with a number that makes repeats safe."""

import contextlib
import uuid
from collections.abc import Callable, Iterator

import attrs

from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.order_runner import GatewayOrderRunner
from oriolepaddle.gateway.parser import SERVICE_PREFIX
from oriolepaddle.orders import OrderAnswer, OrderForwarder, OrderRegistry, OrderRequest
from oriolepaddle.web import AnswerWriter

__all__ = ["OrderExchange"]

ORDER_TOKENS = 1.0


class OrderExchange:
    """Issues order numbers and runs orders, here or at their issuer.

    Args:
        context: What exchanges work with.
        registry: The orders that this instance issued.
        forwarder: Passes other orders to their issuers.
        runner: Sends orders to endpoints.
    """

    def __init__(
        self,
        context: ServingContext,
        registry: OrderRegistry,
        forwarder: OrderForwarder,
        runner: GatewayOrderRunner,
    ) -> None:
        self._context = context
        self._registry = registry
        self._forwarder = forwarder
        self._runner = runner

    def issue(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Answer with a new order number for a route that is served here.

        Raises:
            RefusedError: This data centre may not run the route's orders.
        """
        path = SERVICE_PREFIX + request.route.id
        self._runner.check(attrs.evolve(_make_order_request(request), path=path))
        number = self._registry.issue(request.organisation_id)
        headers = [("X-Request-Id", request.id)]
        writer.answer_json(201, {"order": number}, headers)

    def run(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Run an order, or answer its repeat.

        Raises:
            RefusedError: It was not run.
            OrderError: Its outcome is unknown or its answer is gone.
        """
        number = request.order_number or ""
        parsed = self._registry.parse(number, request.organisation_id)
        order = _make_order_request(request)
        if self._registry.is_own(parsed):
            answer = self._run_here(number, order)
        else:
            answer = self._forwarder.forward(number, order)
        headers = [*answer.headers, ("X-Request-Id", request.id)]
        writer.start(answer.status, headers, len(answer.body))
        writer.write(answer.body)
        writer.finish()

    @contextlib.contextmanager
    def reserve(self, request: CallerRequest) -> Iterator[None]:
        """Set an order's tokens aside while it runs.

        Raises:
            RefusedError: The organisation has used its rate; nothing was asked
                of what became of the order.
        """
        if request.organisation is None:
            yield
            return
        reservation = self._context.limiter.reserve(request.organisation, ORDER_TOKENS)
        try:
            yield
        finally:
            reservation.settle(ORDER_TOKENS)

    def is_unused(self, request: CallerRequest) -> bool:
        """Return whether it is certain that no sending of an order has run."""
        number = request.order_number or ""
        parsed = self._registry.parse(number, request.organisation_id)
        return self._registry.is_own(parsed) and not self._registry.is_used(
            number, request.organisation_id
        )

    def _run_here(self, number: str, order: OrderRequest) -> OrderAnswer:
        recheck = self._make_recheck(order)
        return self._registry.run(
            number,
            order.organisation,
            order.digest(),
            lambda: self._runner.run(order, recheck),
            recheck,
        )

    def _make_recheck(self, order: OrderRequest) -> Callable[[], None]:
        def _recheck() -> None:
            self._runner.check(order)

        return _recheck


def _make_order_request(request: CallerRequest) -> OrderRequest:
    return OrderRequest(
        # Each sending has an id of its own: a caller may repeat its request's.
        request_id=uuid.uuid4().hex,
        organisation=request.organisation_id,
        key_digest=request.key.digest if request.key else "",
        method=request.method,
        path=request.caller_path,
        headers=request.headers,
        body=request.body,
        deadline_s=request.deadline_s,
        hops=request.hops,
    )
