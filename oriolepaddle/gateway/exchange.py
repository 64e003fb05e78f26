"""One request from its admission to the end of its answer."""

import threading
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from oriolepaddle.admission import AdmissionSlot
from oriolepaddle.config.model import Endpoint
from oriolepaddle.endpoints import EndpointRequest
from oriolepaddle.errors import (
    AnswerTruncatedError,
    AuthenticationError,
    EndpointDeadlineError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusedError,
)
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.crashes import gather_evidence
from oriolepaddle.gateway.relay import RESUME_HEADER, AnswerRelay
from oriolepaddle.gateway.start import (
    find_startable_endpoint,
    make_routing_request,
    wait_for_turn,
    wait_to_resume,
    without_forwarding,
)
from oriolepaddle.limits import Reservation
from oriolepaddle.quarantine import make_fingerprint
from oriolepaddle.quarantine.run import Run
from oriolepaddle.retries import Failure, RetryAction
from oriolepaddle.web import AnswerWriter

__all__ = ["Exchange"]

SERVICE_TOKENS = 1.0
_RETRIED = (EndpointError, AnswerTruncatedError)


class Exchange:
    """Serves one parsed request on the thread of its caller.

    Args:
        context: What it works with.
        request: The request.
        writer: Where the answer goes.
    """

    def __init__(
        self, context: ServingContext, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        self._context = context
        self._request = request
        self._writer = writer
        self._fingerprint = make_fingerprint(
            request.method, request.caller_path, request.body
        )
        self._relay = AnswerRelay(
            context.clock,
            request,
            writer,
            context.authenticator,
            context.metrics,
            self._recheck,
        )
        self._routing = make_routing_request(request)
        self._excluded: frozenset[str] = frozenset()
        self._endpoint: Endpoint | None = None
        self._target = ""
        self._attempt = 0
        self._is_resuming = False
        self._last_uncertain: OriolepaddleError | None = None

    def run(self) -> None:
        """Serve the request.

        Raises:
            OriolepaddleError: It was refused, or failed before its answer began.
            OSError: The caller is gone.
        """
        self._context.quarantine.check(self._fingerprint)
        reservation = self._reserve()
        try:
            self._run_attempts()
        finally:
            if reservation is not None:
                reservation.settle(self._count_used())

    def _reserve(self) -> Reservation | None:
        request = self._request
        # The instance that passed a request on has reserved its tokens.
        if request.organisation is None or request.hops:
            return None
        tokens = max(SERVICE_TOKENS, float(request.tokens))
        return self._context.limiter.reserve(request.organisation, tokens)

    def _count_used(self) -> float:
        if not self._attempt:
            return 0.0
        output = self._relay.count_output_tokens()
        if not output and not self._writer.is_started and not self._last_uncertain:
            return 0.0
        return max(SERVICE_TOKENS, self._request.prompt_tokens + output)

    def _run_attempts(self) -> None:
        while True:
            try:
                self._try_once()
                self._log_answer()
                return
            except OriolepaddleError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    self._last_uncertain = error
                if not self._prepare_retry(error):
                    self._fail(error)
                    return

    def _log_answer(self) -> None:
        logger.info(
            "answered route {} at {} with {} bytes after {} tries",
            self._request.route.id,
            self._target,
            self._relay.bytes_written,
            self._attempt,
        )

    def _try_once(self) -> None:
        if self._is_resuming and self._endpoint is not None:
            self._attempt += 1
            self._start_and_send(self._find_resuming(self._endpoint))
            return
        decision = self._context.router.choose(self._routing)
        self._attempt += 1
        if decision.endpoint is None:
            self._forward(decision.data_centre)
            return
        slot = self._enter()
        try:
            self._start_and_send(self._find_startable_endpoint)
        finally:
            slot.release()

    def _find_startable_endpoint(self) -> Endpoint:
        return find_startable_endpoint(
            self._context, self._routing, self._fingerprint, self._excluded
        )

    def _find_resuming(self, endpoint: Endpoint) -> Callable[[], Endpoint]:
        return lambda: wait_to_resume(
            self._context, self._routing, self._fingerprint, endpoint
        )

    def _start_and_send(self, find: Callable[[], Endpoint]) -> None:
        context = self._context
        while True:
            endpoint = find()
            try:
                run = context.quarantine.start_run(self._fingerprint, endpoint.id)
            except RefusedError as error:
                if error.code is not ErrorCode.OVERLOADED:
                    raise
                # It became a suspect meanwhile and asks for its turn again.
                wait_for_turn(context, self._routing, error.retry_after or timedelta(0))
                continue
            self._send(endpoint, run)
            return

    def _enter(self) -> AdmissionSlot:
        request = self._request
        organisation = request.organisation
        started_s = self._context.clock.monotonic_s()
        slot = self._context.admissions.queue_for(request.route.id).enter(
            request.organisation_id,
            organisation.weight if organisation else 1.0,
            request.prompt_tokens,
            request.output_tokens,
            request.deadline_s,
            request.priority,
        )
        waited_s = self._context.clock.monotonic_s() - started_s
        self._context.metrics.queue_time.observe(waited_s)
        return slot

    def _forward(self, data_centre: str) -> None:
        self._target = data_centre
        self._endpoint = None
        self._context.metrics.forwards.labels(data_centre).inc()
        self._relay.begin(lambda: None)
        # It is passed on once, whatever becomes of it there.
        self._routing = without_forwarding(self._routing)
        self._context.forwarder.forward(self._request, data_centre, self._relay)

    def _send(self, endpoint: Endpoint, run: Run) -> None:
        context = self._context
        self._endpoint = endpoint
        self._target = endpoint.id
        handle = context.router.start(self._routing, endpoint)
        self._relay.begin(handle.record_first_token)
        is_failed = True
        try:
            context.transport.run(endpoint.address, self._make_request(), self._relay)
            self._relay.complete()
            is_failed = False
        except OSError:
            is_failed = False
            raise
        except OriolepaddleError as error:
            self._note_failure(endpoint, run, error)
            raise
        finally:
            run.abandon()
            handle.finish(self._relay.count_output_tokens(), is_failed)
        self._note_success(run)

    def _make_request(self) -> EndpointRequest:
        request = self._request
        headers = request.headers
        if self._is_resuming:
            headers += ((RESUME_HEADER, str(self._relay.resume_offset)),)
        return EndpointRequest(
            id=request.id,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            is_idempotent=request.is_idempotent,
            first_byte_timeout_s=request.route.first_byte_s,
            stall_timeout_s=self._context.stall_timeout_s,
            deadline_s=request.deadline_s,
        )

    def _recheck(self) -> None:
        # The process may have slept since the request was admitted.
        try:
            self._context.authenticator.recheck(self._request.key)
        except AuthenticationError as error:
            raise AuthenticationError(error.message) from error
        if self._endpoint is None:
            return
        if not self._context.router.is_allowed(self._endpoint.id, self._routing):
            raise EndpointRefusedError(f"{self._endpoint.id} may not run it any more")

    def _note_success(self, run: Run) -> None:
        run.finish()
        tokens = self._relay.count_output_tokens()
        self._context.metrics.output_tokens.labels(self._request.route.id).inc(tokens)
        organisation = self._request.organisation_id
        self._context.retries.record_success(organisation, self._target)

    def _note_failure(
        self, endpoint: Endpoint, run: Run, error: OriolepaddleError
    ) -> None:
        evidence = gather_evidence(self._context.health, endpoint, error)
        if evidence is not None:
            run.fail(evidence)
        is_down = isinstance(error, (EndpointTimeoutError, EndpointUnreachableError))
        # A deadline that passed says nothing of the endpoint.
        is_down = is_down and not isinstance(error, EndpointDeadlineError)
        if is_down or (evidence is not None and evidence.is_crash):
            self._context.router.record_endpoint_failure(endpoint.id)

    def _prepare_retry(self, error: OriolepaddleError) -> bool:
        request = self._request
        # The instance that holds the caller decides on tries after a hop.
        if request.hops or not self._attempt or not isinstance(error, _RETRIED):
            return False
        decision = self._context.retries.decide(
            Failure(
                error=error,
                attempt=self._attempt,
                organisation=request.organisation_id,
                endpoint=self._target,
                is_idempotent=request.is_idempotent,
                bytes_sent_to_caller=self._relay.bytes_written,
                deadline_s=request.deadline_s,
                is_resumable=self._relay.is_resumable,
            )
        )
        self._context.metrics.retries.labels(decision.action, decision.reason).inc()
        if decision.action is RetryAction.GIVE_UP:
            return False
        self._is_resuming = decision.action is RetryAction.RESUME
        if not self._is_resuming:
            self._excluded |= {self._target}
        self._wait(decision.delay)
        return True

    def _wait(self, delay: timedelta) -> None:
        self._context.clock.wait(threading.Event(), delay)

    def _fail(self, error: OriolepaddleError) -> None:
        if error.outcome is Outcome.NOT_RUN and self._last_uncertain is not None:
            # An earlier try may have run, so "not run" would be untrue.
            error = self._last_uncertain
        if not self._writer.is_started:
            raise error
        logger.info("answer cut short: {} ({})", error.message, error.code.code)
        self._relay.cut(error)
        self._writer.keep_alive = False
        self._context.metrics.refusals.labels(error.code.code, error.outcome).inc()
