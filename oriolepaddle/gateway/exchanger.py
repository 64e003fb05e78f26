"""The entry point that serves parsed requests."""

from oriolepaddle.errors import ErrorCode, OrderError, Outcome, RefusedError
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.exchange import Exchange
from oriolepaddle.gateway.order_exchange import OrderExchange
from oriolepaddle.web import AnswerWriter

__all__ = ["Exchanger"]

_CODES_BEFORE_LOOKUP = (ErrorCode.RATE_LIMITED, ErrorCode.NOT_READY, ErrorCode.DRAINING)
"""Codes of refusals that are decided before the order's state is looked up."""


class Exchanger:
    """Serves each request on the thread of the caller's connection.

    Args:
        context: The components that serve requests.
        orders: Serves requests with an order number.
    """

    def __init__(self, context: ServingContext, orders: OrderExchange) -> None:
        self._context = context
        self._orders = orders

    def serve(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Serve one request.

        Raises:
            OriolepaddleError: It was refused, or failed before the response began.
            OSError: The caller disconnected.
        """
        if request.order_number is not None and not request.is_idempotent:
            self._serve_order(request, writer)
            return
        with self._context.activity.enter():
            self._check_staleness(request)
            Exchange(self._context, request, writer).run()
            self._context.metrics.requests.labels(request.route.id).inc()

    def _serve_order(self, request: CallerRequest, writer: AnswerWriter) -> None:
        try:
            with self._context.activity.enter():
                self._check_staleness(request)
                with self._orders.reserve(request):
                    self._orders.run(request, writer)
                self._context.metrics.requests.labels(request.route.id).inc()
        except RefusedError as error:
            if error.code not in _CODES_BEFORE_LOOKUP or self._orders.is_unused(
                request
            ):
                raise
            # The order was refused before its state was looked up, so an earlier
            # attempt may have run.
            raise OrderError(
                f"the outcome of the order is unknown: {error.message}",
                outcome=Outcome.UNKNOWN,
                retry_after=error.retry_after,
            ) from error

    def issue_order(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Respond with a new order number.

        Raises:
            RefusedError: This instance cannot run orders of the route.
        """
        with self._context.activity.enter():
            self._check_staleness(request)
            self._orders.issue(request, writer)

    def _check_staleness(self, request: CallerRequest) -> None:
        if request.key is not None and self._context.staleness.is_too_stale():
            raise RefusedError(
                "the configuration is stale: the platform and all peers are silent",
                code=ErrorCode.NOT_READY,
            )
