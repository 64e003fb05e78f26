"""One request from its admission to the end of its answer."""

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints import EndpointRequest, EndpointTransport
from oriolepaddle.errors import (
    EndpointError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusedError,
)
from oriolepaddle.gateway._interim import RandomRouter
from oriolepaddle.gateway.activity import Activity
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.forwarder import Forwarder
from oriolepaddle.gateway.relay import AnswerRelay
from oriolepaddle.web import AnswerWriter

__all__ = ["Exchanger"]

MAX_ATTEMPTS = 3
STALL_TIMEOUT_S = 15.0


class Exchanger:
    """Serves parsed requests, each on the thread of its caller.

    Args:
        clock: Tells the time.
        router: Chooses endpoints.
        transport: Reaches them.
        forwarder: Passes requests on to other data centres.
        authenticator: Tells whether a key is still valid.
        activity: Counts the requests in flight.
    """

    def __init__(
        self,
        clock: Clock,
        router: RandomRouter,
        transport: EndpointTransport,
        forwarder: Forwarder,
        authenticator: Authenticator,
        activity: Activity,
    ) -> None:
        self._clock = clock
        self._router = router
        self._transport = transport
        self._forwarder = forwarder
        self._authenticator = authenticator
        self._activity = activity

    def serve(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Serve one request.

        Raises:
            OriolepaddleError: It was refused or failed before its answer began.
        """
        with self._activity.enter():
            self._serve_admitted(request, writer)

    def _serve_admitted(self, request: CallerRequest, writer: AnswerWriter) -> None:
        excluded: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            choice = self._router.choose(request, frozenset(excluded))
            relay = AnswerRelay(request, writer, self._authenticator)
            try:
                if choice.endpoint is None:
                    self._forwarder.forward(request, choice.data_centre, relay)
                else:
                    excluded.add(choice.endpoint.id)
                    self._try_endpoint(request, choice.endpoint, relay)
                return
            except OriolepaddleError as error:
                if self._is_final(request, error, relay, attempt):
                    self._end(error, relay, writer)
                    return

    def _try_endpoint(self, request, endpoint, relay) -> None:
        self._authenticator.recheck(request.key)
        endpoint_request = EndpointRequest(
            id=request.id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            is_idempotent=request.is_idempotent,
            first_byte_timeout_s=request.route.first_byte_s,
            stall_timeout_s=STALL_TIMEOUT_S,
            deadline_s=request.deadline_s,
        )
        self._transport.run(endpoint.address, endpoint_request, relay)
        relay.complete()

    def _is_final(
        self,
        request: CallerRequest,
        error: OriolepaddleError,
        relay: AnswerRelay,
        attempt: int,
    ) -> bool:
        if attempt == MAX_ATTEMPTS or relay.bytes_written:
            return True
        if not isinstance(error, EndpointError):
            return True
        return not request.is_idempotent and error.outcome is not Outcome.NOT_RUN

    def _end(
        self, error: OriolepaddleError, relay: AnswerRelay, writer: AnswerWriter
    ) -> None:
        if not writer.is_started:
            raise error
        logger.info("answer cut short: {} ({})", error.message, error.code.code)
        relay.cut(error)
        writer.keep_alive = False


def refuse_unready() -> RefusedError:
    """Return the refusal of an instance that has not caught up."""
    return RefusedError(
        "the configuration has not been read yet", code=ErrorCode.NOT_READY
    )
