"""Serving parsed requests."""

from oriolepaddle.errors import ErrorCode, OrderError, Outcome, RefusedError
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.exchange import Exchange
from oriolepaddle.gateway.order_exchange import OrderExchange
from oriolepaddle.web import AnswerWriter

__all__ = ["Exchanger"]

_REFUSED_UNSEEN = (ErrorCode.RATE_LIMITED, ErrorCode.NOT_READY, ErrorCode.DRAINING)
"""Codes of refusals that are decided without a look at the order."""


class Exchanger:
    """Serves each request on the thread of its caller.

    Args:
        context: What exchanges work with.
        orders: Serves requests with an order number.
    """

    def __init__(self, context: ServingContext, orders: OrderExchange) -> None:
        self._context = context
        self._orders = orders

    def serve(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Serve one request.

        Raises:
            OriolepaddleError: It was refused or failed before its answer began.
            OSError: The caller is gone.
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
            if error.code not in _REFUSED_UNSEEN or self._orders.is_unused(request):
                raise
            # Refused before anybody was asked what became of the order: an
            # earlier sending of it may have run.
            raise OrderError(
                f"the order may have run: {error.message}",
                outcome=Outcome.UNKNOWN,
                retry_after=error.retry_after,
            ) from error

    def issue_order(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Answer with a new order number.

        Raises:
            RefusedError: No order of this route can be run here.
        """
        with self._context.activity.enter():
            self._check_staleness(request)
            self._orders.issue(request, writer)

    def _check_staleness(self, request: CallerRequest) -> None:
        if request.key is not None and self._context.staleness.is_too_stale():
            raise RefusedError(
                "neither the platform nor a peer was heard for too long",
                code=ErrorCode.NOT_READY,
            )
