"""The callers' side of an instance."""

from werkzeug.wrappers import Request

from oriolepaddle.edge.exchange import EdgeExchange
from oriolepaddle.edge.parts import EdgeParts
from oriolepaddle.edge.refusal import write_refusal
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.web import AnswerWriter

__all__ = ["EdgeApplication"]


class EdgeApplication:
    """Decodes, serves and logs each request; an `Application`.

    Args:
        parts: What exchanges work with.
        is_peer_side: Whether the requests come from other instances.
    """

    def __init__(self, parts: EdgeParts, is_peer_side: bool = False) -> None:
        self._parts = parts
        self._is_peer_side = is_peer_side

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        parts = self._parts
        parsed = parts.protocol.read_request(request, parts.clock.monotonic_s())
        if not self._is_peer_side and parsed.hops:
            # Only other instances, on a listener of their own, pass requests on.
            parsed = parsed.without_hops()
        exchange = EdgeExchange(parts, parsed, writer)
        with parts.activity.enter():
            try:
                exchange.run()
            except OriolepaddleError as error:
                self._end(exchange, parsed, writer, error)
            except OSError as error:
                exchange.log("caller_left", reason=str(error))
                parts.metrics.refusals.labels("caller_left", "unknown").inc()
                raise

    def _end(
        self,
        exchange: EdgeExchange,
        request: EdgeRequest,
        writer: AnswerWriter,
        error: OriolepaddleError,
    ) -> None:
        code = error.code.code
        self._parts.metrics.refusals.labels(code, error.outcome).inc()
        if writer.is_started:
            # The caller sees a cut answer, as its end is never sent.
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
