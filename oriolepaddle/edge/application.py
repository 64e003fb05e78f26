"""The application that serves callers' requests."""

from werkzeug.wrappers import Request

from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.exchange import EdgeExchange
from oriolepaddle.edge.refusal import write_refusal
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.web import AnswerWriter

__all__ = ["EdgeApplication"]


class EdgeApplication:
    """Decodes, serves and logs each request; an `Application`.

    Args:
        context: The components that request handling uses.
        is_peer_side: Whether the requests come from other instances.
    """

    def __init__(self, context: EdgeContext, is_peer_side: bool = False) -> None:
        self._context = context
        self._is_peer_side = is_peer_side

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        context = self._context
        parsed = context.protocol.read_request(request, context.clock.monotonic_s())
        if not self._is_peer_side and parsed.hops:
            # Forwarded requests are only accepted on the listener for peers.
            parsed = parsed.without_hops()
        exchange = EdgeExchange(context, parsed, writer)
        with context.activity.enter():
            try:
                exchange.run()
            except OriolepaddleError as error:
                self._end(exchange, parsed, writer, error)
            except OSError as error:
                exchange.log("caller_left", reason=str(error))
                context.metrics.refusals.labels("caller_left", "unknown").inc()
                raise

    def _end(
        self,
        exchange: EdgeExchange,
        request: EdgeRequest,
        writer: AnswerWriter,
        error: OriolepaddleError,
    ) -> None:
        code = error.code.code
        self._context.metrics.refusals.labels(code, error.outcome).inc()
        if writer.is_started:
            # Closing the connection without the end of the body shows the caller
            # that the response is truncated.
            writer.keep_alive = False
            exchange.log("answer_cut", reason=code, detail=error.message)
            return
        status = write_refusal(writer, error, request.id)
        exchange.log(
            "request_refused",
            reason=code,
            outcome=error.outcome.value,
            status=status,
            detail=error.message,
        )
