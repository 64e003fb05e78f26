"""The handling of orders: non-idempotent requests with an idempotency key."""

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

TOKENS_PER_ORDER = 1.0


class OrderExchange:
    """Issues order numbers, and runs orders here or at the instance that issued them.

    Args:
        context: The components that serve requests.
        registry: The orders that this instance issued.
        forwarder: Forwards other orders to the instances that issued them.
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
        """Respond with a new order number for a route of this data centre.

        Raises:
            RefusedError: This data centre may not or cannot run orders of the route.
        """
        path = SERVICE_PREFIX + request.route.id
        self._runner.check(attrs.evolve(_make_order_request(request), path=path))
        number = self._registry.issue(request.organisation_id)
        headers = [("X-Request-Id", request.id)]
        writer.answer_json(201, {"order": number}, headers)

    def run(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Run an order, or respond to a repeat with the stored answer.

        Raises:
            RefusedError: The order was not run.
            OrderError: Its outcome is unknown, or its answer is no longer stored.
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
        """Reserve an order's tokens while it runs.

        Raises:
            RefusedError: The organisation's rate is exceeded. The order's state was
                not looked up.
        """
        if request.organisation is None:
            yield
            return
        reservation = self._context.limiter.reserve(
            request.organisation, TOKENS_PER_ORDER
        )
        try:
            yield
        finally:
            reservation.settle(TOKENS_PER_ORDER)

    def is_unused(self, request: CallerRequest) -> bool:
        """Return whether it is certain that no attempt of an order has run."""
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
        # Each attempt has an id of its own, as a caller may reuse a request id.
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
