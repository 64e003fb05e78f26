"""The handling of one request, from admission to the end of its response."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from oriolepaddle.catalog import RatedOrganisation, RegisteredEndpoint, RepeatRule
from oriolepaddle.edge.admission import AdmittedRequest, admit, check_catalog_age
from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
from oriolepaddle.edge.attempt import (
    AlternativeOutcome,
    Attempt,
    AttemptSupersededError,
)
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.crash_guard import CrashGuard, RunEnd
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.edge.exchange_log import ExchangeLog
from oriolepaddle.edge.placing import make_job
from oriolepaddle.edge.progress import ExchangeProgress, Placed
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.edge.retry_rules import MIN_REMAINING_S, find_final_error, may_retry
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.edge.turn import Turn
from oriolepaddle.endpoints import ConnectionReuse, EndpointRequest
from oriolepaddle.errors import (
    EndpointDeadlineError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusalUnconfirmedError,
    RefusedError,
)
from oriolepaddle.placement import Choice, Job, PlacedRun
from oriolepaddle.web import AnswerWriter

__all__ = ["EdgeExchange"]

SUSPECT_WAIT_FRACTION = 0.5
"""Fraction of the target time for which a suspect waits for another one's test."""
ALTERNATIVE_INTERVAL_S = 0.5
"""Seconds after an alternative attempt has ended without taking over, for example as no
endpoint had room for it, before the next one is started."""
REASSIGNED_RETRY_AFTER = timedelta(milliseconds=50)
"""Retry delay sent to callers whose key was given to another organisation."""
T = TypeVar("T")
_UNREACHABLE_ERRORS = (EndpointUnreachableError, EndpointReplacedError)
"""Errors after which an endpoint gets no requests for a while, as others would fail."""
Headers = tuple[tuple[str, str], ...]


class EdgeExchange:
    """Serves one request on the thread of its caller's connection.

    Args:
        context: The components that request handling uses.
        request: The request.
        writer: Writes the response to the caller.
    """

    def __init__(
        self, context: EdgeContext, request: EdgeRequest, writer: AnswerWriter
    ) -> None:
        self._context = context
        self._request = request
        self._writer = writer
        self._splitter = EventSplitter(request.last_event_id)
        self._progress = ExchangeProgress(request.earlier_runs, not request.hops)
        self._log = ExchangeLog(context, request, self._progress)
        self._turn = Turn(
            context, self._progress, self._make_job, self._check_waiting, self.log
        )
        self._admitted: AdmittedRequest | None = None
        self._next_alternative_s = float("-inf")
        self._crash_guard: CrashGuard | None = None
        self._deadline_s = float("inf")

    def run(self) -> None:
        """Serve the request.

        Raises:
            OriolepaddleError: The request was refused or failed.
            OSError: The caller has disconnected.
        """
        context = self._context
        admitted = self._retry_during_startup(lambda: admit(context, self._request))
        self._admitted = admitted
        self._set_deadline(admitted)
        is_forwarded = bool(self._request.hops)
        if context.drain.is_refusing(self._remaining_s(), is_forwarded):
            raise _make_drain_refusal()
        self._crash_guard = self._make_crash_guard()
        self._crash_guard.check()
        organisation = admitted.organisation
        # For a forwarded request, the instance that received it from the caller
        # has reserved the tokens.
        is_unlimited = organisation is None or not organisation.is_limited
        try:
            if is_unlimited or self._request.hops:
                self._run_attempts()
            else:
                self._run_reserved(organisation)
        finally:
            if self._progress.failed_answer is not None:
                self._progress.failed_answer.discard()

    def _make_crash_guard(self) -> CrashGuard:
        return CrashGuard(
            self._context, self._request, self._admitted.service, self._check_caller
        )

    def _retry_during_startup(self, action: Callable[[], T]) -> T:
        request = self._request
        return self._context.startup_retry.call(action, request.id, request.arrived_s)

    def log(self, event: str, **fields: object) -> None:
        """Log an event of this request with the state of its handling."""
        self._log.write(event, self._admitted, **fields)

    def _set_deadline(self, admitted: AdmittedRequest) -> None:
        timeout_s = admitted.route.timeout.total_seconds()
        caller_timeout_s = self._request.caller_timeout_s
        remaining_s = (
            timeout_s if caller_timeout_s is None else min(timeout_s, caller_timeout_s)
        )
        self._deadline_s = self._request.arrived_s + remaining_s

    def _remaining_s(self) -> float:
        return self._deadline_s - self._context.clock.monotonic_s()

    def _run_reserved(self, organisation: RatedOrganisation) -> None:
        tokens = self._count_tokens(organisation)
        limiter = self._context.limiter
        reservation = self._retry_during_startup(
            lambda: limiter.reserve(organisation.organisation, tokens)
        )
        try:
            self._run_attempts()
        finally:
            reservation.settle(tokens if self._progress.has_run else 0.0)

    def _count_tokens(self, organisation: RatedOrganisation) -> float:
        request = self._request
        if not organisation.is_token_rated:
            return 1.0
        if not request.has_token_counts:
            return float(organisation.plain_tokens)
        return float(request.input_tokens + request.output_tokens)

    def _run_attempts(self) -> None:
        progress = self._progress
        while True:
            try:
                attempt = Attempt(self._context.clock)
                self._attempt_with_alternative(attempt, self._crash_guard)
                break
            except OriolepaddleError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    progress.last_uncertain_error = error
                if self._prepare_retry(error):
                    continue
                if progress.failed_answer is None or self._writer.is_started:
                    raise find_final_error(progress, error) from error
                # The endpoint's own error response tells the caller more than
                # the failure to find another endpoint for the retry.
                progress.failed_answer.complete()
                break
        self._record_answer()

    def _attempt_with_alternative(
        self, attempt: Attempt, crash_guard: CrashGuard
    ) -> None:
        """Run one attempt, and wait for the alternative that replaces it."""
        try:
            self._attempt_once(attempt, crash_guard)
        except OriolepaddleError:
            if not attempt.await_alternative():
                raise
        except OSError as error:
            attempt.cancel_alternative(error)
            raise

    def _attempt_once(self, attempt: Attempt, crash_guard: CrashGuard) -> None:
        remaining_s = self._remaining_s()
        if remaining_s < MIN_REMAINING_S:
            raise EndpointDeadlineError(
                "the request's deadline is too close", outcome=Outcome.NOT_RUN
            )
        target_s = self._admitted.route.target.total_seconds()
        wait_until_s = self._request.arrived_s + SUSPECT_WAIT_FRACTION * target_s
        crash_guard.start_attempt(min(wait_until_s, self._deadline_s))
        try:
            choice, job = self._turn.place(self._admitted, self._on_time_s())
            if attempt.is_pending:
                self._progress.has_retry_token = False
            if isinstance(choice, PeerChoice):
                self._send_to_peer(choice, job, attempt)
            else:
                self._send_to_endpoint(choice, job, attempt, crash_guard)
        finally:
            crash_guard.end_attempt()
            attempt.end()

    def _make_job(self) -> Job:
        now_s = self._context.clock.monotonic_s()
        has_run = self._progress.possible_runs > 0
        return make_job(
            self._admitted, self._request, now_s, self._remaining_s(), has_run
        )

    def _on_time_s(self) -> float:
        target_s = self._admitted.route.target.total_seconds()
        return self._request.arrived_s + target_s - self._context.clock.monotonic_s()

    def _check_waiting(self) -> None:
        """Check a request that waits, as if it were about to be sent."""
        self._check_caller()
        if self._context.drain.is_ending():
            raise _make_drain_refusal()
        self._recheck(None)

    def _check_caller(self) -> None:
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller disconnected")

    def _send_to_endpoint(
        self, choice: Choice, job: Job, attempt: Attempt, crash_guard: CrashGuard
    ) -> None:
        context = self._context
        endpoint = choice.endpoint
        source = choice.prefix_source
        self._progress.begin_attempt(
            Placed(
                endpoint.id,
                choice.expected_s,
                source.id if source else None,
                choice.work,
            )
        )
        if source is not None:
            context.metrics.prefix_fetches.inc()
        run = context.placer.start(choice, job)
        sink = self._make_sink(endpoint, run, attempt, crash_guard)
        admitted = self._admitted
        organisation = admitted.organisation
        headers = context.protocol.write_endpoint_headers(
            self._request,
            endpoint,
            organisation.id if organisation else None,
            self._remaining_s(),
            self._splitter.last_id,
            job.urgency if admitted.route.is_stream else None,
            source,
        )
        request = self._make_request(headers, ConnectionReuse.IF_SURELY_OPEN)
        try:
            crash_guard.start_run(endpoint, sink)
            context.transport.run(endpoint.address, request, sink, attempt.cancellation)
            self._complete(sink, attempt, crash_guard)
            run.succeed()
        except AttemptSupersededError:
            # It says nothing about the endpoint.
            raise
        except RefusalUnconfirmedError as error:
            # The endpoint has sent a whole response.
            run.succeed()
            self._record_failure(endpoint, sink, error, crash_guard)
            raise
        except OriolepaddleError as error:
            self._progress.exclude(endpoint.incarnation)
            run.fail(isinstance(error, _UNREACHABLE_ERRORS))
            self._record_failure(endpoint, sink, error, crash_guard)
            raise
        except OSError:
            crash_guard.record_silence(endpoint, sink)
            raise
        finally:
            run.end()
            self._end_attempt(sink)

    def _complete(
        self, sink: EdgeSink, attempt: Attempt, crash_guard: CrashGuard
    ) -> None:
        progress = self._progress
        answer = sink.answer
        if answer is not None and answer.is_server_error:
            error = EndpointFailedError(
                f"the endpoint responded with status {answer.status}"
            )
            is_repeated = attempt.has_alternative
            if not is_repeated and self._is_retry_allowed(error):
                is_repeated = progress.has_retry_token or self._acquire_retry()
                progress.has_retry_token = is_repeated
            if is_repeated:
                progress.failed_answer = sink
                raise error
        # Without a retry, the endpoint's error response goes to the caller.
        self._finish(sink, crash_guard)

    def _finish(self, sink: EdgeSink, crash_guard: CrashGuard) -> None:
        answer = sink.answer
        if answer is not None and self._is_false_promise(answer):
            raise RefusalUnconfirmedError(
                f"the response has status {answer.status}, but does not state that the "
                "request was not run"
            )
        sink.complete()
        crash_guard.record_answer(answer)

    def _is_false_promise(self, answer: EndpointAnswer) -> bool:
        """Return whether a caller would repeat a request that may run only once."""
        is_once = self._admitted.route.repeat_rule is RepeatRule.ONCE
        return is_once and answer.promises_not_run

    def _send_to_peer(self, peer: PeerChoice, job: Job, attempt: Attempt) -> None:
        context = self._context
        progress = self._progress
        earlier_runs = progress.possible_runs
        progress.begin_attempt(Placed(peer.instance, peer.expected_s))
        # A request is forwarded at most once, whatever the outcome.
        progress.may_forward = False
        context.regions.record_sent(peer, job.service, job.input_tokens)
        context.metrics.forwards.labels(peer.region).inc()
        crash_guard = self._crash_guard
        sink = self._make_sink(None, None, attempt, crash_guard)
        age_s = context.clock.monotonic_s() - self._request.arrived_s
        headers = context.protocol.write_peer_headers(
            self._request, age_s, self._splitter.last_id, earlier_runs
        )
        request = self._make_request(headers, ConnectionReuse.ANY)
        try:
            context.peer_transport.run(
                peer.address, request, sink, attempt.cancellation
            )
            self._finish(sink, crash_guard)
        except AttemptSupersededError:
            raise
        except OriolepaddleError as error:
            self._record_failure(None, sink, error, crash_guard)
            raise
        finally:
            self._end_attempt(sink)

    def _end_attempt(self, sink: EdgeSink) -> None:
        self._progress.count_attempt(sink)
        if sink is not self._progress.failed_answer:
            sink.discard()

    def _make_request(
        self, headers: Headers, reuse: ConnectionReuse
    ) -> EndpointRequest:
        remaining_s = self._remaining_s()
        return EndpointRequest(
            id="",
            method=self._request.method,
            path=self._request.target,
            headers=headers,
            body=self._request.body,
            is_idempotent=self._admitted.route.repeat_rule is not RepeatRule.ONCE,
            first_byte_timeout_s=remaining_s,
            stall_timeout_s=remaining_s,
            deadline_s=self._deadline_s,
            reuse=reuse,
        )

    def _make_sink(
        self,
        endpoint: RegisteredEndpoint | None,
        run: PlacedRun | None,
        attempt: Attempt,
        crash_guard: CrashGuard,
    ) -> EdgeSink:
        def _on_first_byte() -> None:
            if run is not None:
                self._record_error(run)
                run.record_first_byte()
            self._record_first_byte()

        started_s = self._context.clock.monotonic_s()

        def _read_answer(status: int, headers: Headers) -> EndpointAnswer:
            answer = self._context.protocol.read_answer(
                self._request.id, status, headers
            )
            if endpoint is not None and answer.is_of_endpoint:
                if answer.load is not None:
                    self._context.paces.record(
                        endpoint.incarnation, endpoint.service, answer.load
                    )
                self._context.permits.record(
                    endpoint.incarnation,
                    answer.signals,
                    started_s,
                    has_run=answer.kind is AnswerKind.RAN,
                )
            return answer

        sink = EdgeSink(
            self._writer,
            self._splitter,
            _read_answer,
            lambda: self._recheck(endpoint),
            _on_first_byte,
            self._context.buffers,
            self._may_relay_early,
            attempt,
            is_peer=endpoint is None,
        )
        if run is None:
            sink.set_callbacks(lambda: None, self._check_drain, lambda: None)
        else:
            sink.set_callbacks(
                run.record_activity,
                lambda: self._check_progress(run, endpoint, sink, attempt, crash_guard),
                lambda: crash_guard.record_first_event(endpoint, started_s),
            )
        return sink

    def _may_relay_early(self, answer: EndpointAnswer) -> bool:
        """Return whether a response may go to the caller before it is complete."""
        rule = self._admitted.route.repeat_rule
        if rule is RepeatRule.ONCE:
            return not self._is_false_promise(answer)
        # Another endpoint may answer a request that can be repeated, unless this body
        # is merely large.
        return rule is RepeatRule.IDEMPOTENT and answer.length is not None

    def _check_drain(self) -> None:
        """End an attempt that would be cut off by the exit of the process.

        A response that has begun can only be cut, so it may still end in time.

        Raises:
            EndpointDeadlineError: There is no time left.
        """
        if self._context.drain.is_ending() and not self._writer.is_started:
            raise EndpointDeadlineError(
                "this instance shuts down before the response is complete"
            )

    def _check_progress(
        self,
        run: PlacedRun,
        endpoint: RegisteredEndpoint,
        sink: EdgeSink,
        attempt: Attempt,
        crash_guard: CrashGuard,
    ) -> None:
        """Start an alternative to an attempt that seems lost, if one is possible.

        It is called on the watchdog's thread.

        Raises:
            EndpointTimeoutError: The attempt is an alternative itself and gives way to
                another one, or this instance shuts down.
        """
        self._check_drain()
        if not sink.is_sent or not run.seems_lost():
            return
        now_s = self._context.clock.monotonic_s()
        if attempt.has_alternative or now_s < self._next_alternative_s:
            return
        error = EndpointTimeoutError(
            f"{endpoint.id} made no progress on the request in the expected time"
        )
        if not self._acquire_alternative(error, endpoint):
            return
        if attempt.is_pending:
            raise error
        alternative = attempt.add_alternative(self._splitter.drop_partial)
        if alternative is not None:
            self._progress.exclude(endpoint.incarnation)
            crash_guard.end_turn()
            # Others are placed elsewhere, before it is known whether it is lost.
            run.suspect()
            alternative.start(lambda: self._run_alternative(alternative))

    def _acquire_alternative(
        self, error: EndpointTimeoutError, endpoint: RegisteredEndpoint
    ) -> bool:
        """Return whether a request may be sent to another endpoint as well."""
        progress = self._progress
        if not self._is_retry_allowed(error) or not self._context.placer.has_other(
            self._admitted.service, progress.excluded | {endpoint.incarnation}
        ):
            return False
        progress.has_retry_token = progress.has_retry_token or self._acquire_retry()
        return progress.has_retry_token

    def _run_alternative(self, alternative: Attempt) -> None:
        """Send the request to another endpoint, beside an attempt that seems lost."""
        clock = self._context.clock
        placed, started_s = self._progress.placed, clock.monotonic_s()
        self.log("alternative_started", events=self._splitter.events)
        outcome = AlternativeOutcome.FAILED
        reason = ""
        try:
            self._attempt_with_alternative(alternative, self._make_crash_guard())
        except AttemptSupersededError as error:
            outcome, reason = AlternativeOutcome.SUPERSEDED, error.message
            raise
        except OriolepaddleError as error:
            reason = error.code.code
            if error.outcome is not Outcome.NOT_RUN:
                self._progress.last_uncertain_error = error
            raise
        finally:
            now_s = clock.monotonic_s()
            self._next_alternative_s = now_s + ALTERNATIVE_INTERVAL_S
            if alternative.has_taken_over:
                outcome = AlternativeOutcome.TOOK_OVER
            else:
                self._progress.placed = placed
            overlap_end_s = alternative.took_over_s or now_s
            self._context.metrics.alternatives.labels(outcome.value).inc()
            self.log(
                "alternative_ended",
                outcome=outcome.value,
                reason=reason,
                first_target=placed.target,
                overlap_s=round(overlap_end_s - started_s, 3),
            )

    def _record_error(self, run: PlacedRun) -> None:
        ratio = run.find_error_ratio()
        if ratio is not None:
            self._context.metrics.prediction_error.observe(ratio)

    def _record_first_byte(self) -> None:
        if self._progress.first_byte_s is None:
            now_s = self._context.clock.monotonic_s()
            self._progress.first_byte_s = now_s
            elapsed_s = now_s - self._request.arrived_s
            self._context.metrics.first_byte_time.observe(elapsed_s)

    def _recheck(self, endpoint: RegisteredEndpoint | None) -> None:
        # The process may have been suspended since the request was admitted.
        if self._admitted.organisation is not None:
            check_catalog_age(self._context)
        if self._context.catalog.version != self._admitted.version:
            self._admit_again()
        if endpoint is None:
            return
        pause_s = self._context.permits.remaining_pause_s(endpoint.incarnation)
        if pause_s > 0 or not self._context.catalog.may_send(endpoint):
            raise EndpointRefusedError(
                f"requests may no longer be sent to {endpoint.id}"
            )

    def _admit_again(self) -> None:
        previous = self._admitted
        self._admitted = admit(self._context, self._request)
        if not self._admitted.is_charged_like(previous):
            # The tokens were reserved for the one before, which the headers name.
            raise RefusedError(
                "the request's organisation changed before the request was sent",
                code=ErrorCode.NOT_READY,
                retry_after=REASSIGNED_RETRY_AFTER,
            )
        if not self._admitted.is_placed_like(previous):
            raise EndpointRefusedError(
                "the configuration changed before the request was sent"
            )

    def _record_answer(self) -> None:
        context = self._context
        context.metrics.requests.labels(self._admitted.route.name).inc()
        if not self._request.hops:
            context.retry_budget.record_request(self._admitted.service)
        self.log(
            "request_answered", events=self._splitter.events, runs=self._progress.runs
        )

    def _record_failure(
        self,
        endpoint: RegisteredEndpoint | None,
        sink: EdgeSink,
        error: OriolepaddleError,
        crash_guard: CrashGuard,
    ) -> None:
        answer = sink.answer
        end = RunEnd()
        if endpoint is not None:
            end = crash_guard.record_failure(endpoint, sink, error)
        self.log(
            "try_failed",
            incarnation=endpoint.incarnation if endpoint else None,
            request_key=crash_guard.request_key,
            evidence=end.evidence.value,
            has_ended=end.has_ended,
            events=sink.events,
            reason=error.code.code,
            outcome=error.outcome.value,
            detail=error.message,
            status=answer.status if answer else None,
            address=endpoint.address if endpoint else None,
        )

    def _prepare_retry(self, error: OriolepaddleError) -> bool:
        progress = self._progress
        is_allowed = self._is_retry_allowed(error)
        if is_allowed and not isinstance(error, EndpointUnreachableError):
            is_allowed = progress.has_retry_token or self._acquire_retry()
        progress.has_retry_token = False
        if is_allowed:
            self._splitter.drop_partial()
        action = "repeat" if is_allowed else "give_up"
        self._context.metrics.retries.labels(action, error.code.code).inc()
        return is_allowed

    def _is_retry_allowed(self, error: OriolepaddleError) -> bool:
        if self._admitted is None or self._context.drain.is_ending():
            return False
        return may_retry(
            self._progress,
            self._admitted.route,
            error,
            self._remaining_s(),
            self._writer.is_started,
        )

    def _acquire_retry(self) -> bool:
        return self._context.retry_budget.acquire(self._admitted.service)


def _make_drain_refusal() -> RefusedError:
    return RefusedError(
        "this instance is shutting down",
        code=ErrorCode.DRAINING,
        retry_after=timedelta(0),
    )
