"""The handling of one request, from admission to the end of its response."""

import threading
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from oriolepaddle.admission import AdmissionSlot
from oriolepaddle.config.model import Endpoint
from oriolepaddle.endpoints import EndpointRequest
from oriolepaddle.errors import (
    AnswerMalformedError,
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

MIN_CHARGED_TOKENS = 1.0
_RETRYABLE_ERRORS = (EndpointError, AnswerMalformedError, AnswerTruncatedError)


class Exchange:
    """Serves one parsed request on the thread of the caller's connection.

    Args:
        context: The components that serve requests.
        request: The request.
        writer: Writes the response to the caller.
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
            context.buffers,
        )
        self._routing = make_routing_request(request)
        self._excluded: frozenset[str] = frozenset()
        self._endpoint: Endpoint | None = None
        self._target = ""
        self._attempt_count = 0
        self._is_resuming = False
        self._last_uncertain_error: OriolepaddleError | None = None

    def run(self) -> None:
        """Serve the request.

        Raises:
            OriolepaddleError: It was refused, or failed before the response began.
            OSError: The caller disconnected.
        """
        self._context.quarantine.check(self._fingerprint)
        reservation = self._reserve()
        try:
            self._run_attempts()
        finally:
            if reservation is not None:
                reservation.settle(self._count_used_tokens())
            self._relay.discard()

    def _reserve(self) -> Reservation | None:
        request = self._request
        # The tokens of a forwarded request are reserved by the forwarding instance.
        if request.organisation is None or request.hops:
            return None
        tokens = max(MIN_CHARGED_TOKENS, float(request.tokens))
        return self._context.limiter.reserve(request.organisation, tokens)

    def _count_used_tokens(self) -> float:
        if not self._attempt_count:
            return 0.0
        output = self._relay.count_output_tokens()
        if (
            not output
            and not self._writer.is_started
            and not self._last_uncertain_error
        ):
            return 0.0
        return max(MIN_CHARGED_TOKENS, self._request.prompt_tokens + output)

    def _run_attempts(self) -> None:
        while True:
            try:
                self._run_attempt()
                self._log_completion()
                return
            except OriolepaddleError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    self._last_uncertain_error = error
                if not self._prepare_retry(error):
                    self._fail(error)
                    return

    def _log_completion(self) -> None:
        logger.info(
            "request for route {} completed at {}: {} bytes, {} attempts",
            self._request.route.id,
            self._target,
            self._relay.bytes_written,
            self._attempt_count,
        )

    def _run_attempt(self) -> None:
        if self._is_resuming and self._endpoint is not None:
            self._attempt_count += 1
            self._start_and_send(self._make_resuming_finder(self._endpoint))
            return
        decision = self._context.router.choose(self._routing)
        self._attempt_count += 1
        if decision.endpoint is None:
            self._forward(decision.data_centre)
            return
        slot = self._wait_for_admission()
        try:
            self._start_and_send(self._find_startable_endpoint)
        finally:
            slot.release()

    def _find_startable_endpoint(self) -> Endpoint:
        return find_startable_endpoint(
            self._context, self._routing, self._fingerprint, self._excluded
        )

    def _make_resuming_finder(self, endpoint: Endpoint) -> Callable[[], Endpoint]:
        return lambda: wait_to_resume(
            self._context, self._routing, self._fingerprint, endpoint
        )

    def _start_and_send(self, find_endpoint: Callable[[], Endpoint]) -> None:
        context = self._context
        while True:
            endpoint = find_endpoint()
            try:
                run = context.quarantine.start_run(self._fingerprint, endpoint.id)
            except RefusedError as error:
                if error.code is not ErrorCode.OVERLOADED:
                    raise
                # The request has become a suspect since and must wait for its turn.
                wait_for_turn(context, self._routing, error.retry_after or timedelta(0))
                continue
            self._send(endpoint, run)
            return

    def _wait_for_admission(self) -> AdmissionSlot:
        request = self._request
        organisation = request.organisation
        started_at_s = self._context.clock.monotonic_s()
        slot = self._context.admissions.queue_for(request.route.id).enter(
            request.organisation_id,
            organisation.weight if organisation else 1.0,
            request.prompt_tokens,
            request.output_tokens,
            request.deadline_s,
            request.priority,
        )
        waited_s = self._context.clock.monotonic_s() - started_at_s
        self._context.metrics.queue_time.observe(waited_s)
        return slot

    def _forward(self, data_centre: str) -> None:
        self._target = data_centre
        self._endpoint = None
        self._context.metrics.forwards.labels(data_centre).inc()
        self._relay.begin(lambda: None)
        # A request is forwarded at most once, whether or not that succeeds.
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
            self._record_failure(endpoint, run, error)
            raise
        finally:
            run.abandon()
            handle.finish(self._relay.count_output_tokens(), is_failed)
        self._record_success(run)

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
        # The process may have been suspended since the request was admitted.
        try:
            self._context.authenticator.recheck(self._request.route, self._request.key)
        except AuthenticationError as error:
            raise AuthenticationError(error.message) from error
        if self._endpoint is None:
            return
        if not self._context.router.is_allowed(self._endpoint.id, self._routing):
            raise EndpointRefusedError(
                f"the request may no longer be sent to {self._endpoint.id}"
            )

    def _record_success(self, run: Run) -> None:
        run.finish()
        tokens = self._relay.count_output_tokens()
        self._context.metrics.output_tokens.labels(self._request.route.id).inc(tokens)
        organisation = self._request.organisation_id
        self._context.retries.record_success(organisation, self._target)

    def _record_failure(
        self, endpoint: Endpoint, run: Run, error: OriolepaddleError
    ) -> None:
        evidence = gather_evidence(self._context.health, endpoint, error)
        if evidence is not None:
            run.fail(evidence)
        is_down = isinstance(error, (EndpointTimeoutError, EndpointUnreachableError))
        # An expired deadline is no evidence of a failure of the endpoint.
        is_down = is_down and not isinstance(error, EndpointDeadlineError)
        if is_down or (evidence is not None and evidence.is_crash):
            self._context.router.record_endpoint_failure(endpoint.id)

    def _prepare_retry(self, error: OriolepaddleError) -> bool:
        request = self._request
        # Retries of a forwarded request are decided by the forwarding instance.
        if (
            request.hops
            or not self._attempt_count
            or not isinstance(error, _RETRYABLE_ERRORS)
        ):
            return False
        decision = self._context.retries.decide(
            Failure(
                error=error,
                attempt=self._attempt_count,
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
        if error.outcome is Outcome.NOT_RUN and self._last_uncertain_error is not None:
            # An earlier attempt may have run, so the outcome must not be "not run".
            error = self._last_uncertain_error
        if not self._writer.is_started:
            raise error
        logger.info("response truncated: {} ({})", error.message, error.code.code)
        self._relay.write_truncation_event(error)
        self._writer.keep_alive = False
        self._context.metrics.refusals.labels(error.code.code, error.outcome).inc()
