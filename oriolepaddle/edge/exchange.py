"""One request from its admission to the end of its answer."""

from datetime import timedelta

from oriolepaddle.catalog import RegisteredEndpoint, RepeatRule
from oriolepaddle.edge.admission import Admitted, admit, check_knowledge
from oriolepaddle.edge.crash_register import make_request_fingerprint
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.edge.parts import EdgeParts
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.endpoints import ConnectionReuse, EndpointRequest
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusedError,
)
from oriolepaddle.limits import Reservation
from oriolepaddle.logs import log_event
from oriolepaddle.placement import Choice, Job
from oriolepaddle.web import AnswerWriter

__all__ = ["EdgeExchange"]

MAX_TRIES = 4
"""Endpoints asked for one request, those that refused it included."""
LEAST_LEFT_S = 0.05
"""Time to the deadline below which a repeat cannot help."""
LATE_PATIENCE_PART = 0.3
"""Part of the target that a request which is late already may still wait."""
AWAY_GAIN_S = 0.1
"""Time to be gained before a request is worth the link between regions."""
RETURN_AFTER = timedelta(milliseconds=200)
"""The pause of a caller whose request was not run."""
_REPEATABLE = (EndpointError, AnswerMismatchedError, AnswerTruncatedError)
SERVER_ERROR = 500


class EdgeExchange:
    """Serves one request on the thread of its caller.

    Args:
        parts: What it works with.
        request: The request.
        writer: Where the answer goes.
    """

    def __init__(
        self, parts: EdgeParts, request: EdgeRequest, writer: AnswerWriter
    ) -> None:
        self._parts = parts
        self._request = request
        self._writer = writer
        self._splitter = EventSplitter(request.last_event_id)
        self._admitted: Admitted | None = None
        self._job: Job | None = None
        self._fingerprint = ""
        self._deadline_s = float("inf")
        self._excluded: set[str] = set()
        self._tries = 0
        self._runs = request.earlier_runs
        self._target = ""
        self._expected_s = 0.0
        self._first_byte_s: float | None = None
        self._may_leave = not request.hops
        self._has_repeat = False
        self._failed_answer: EdgeSink | None = None
        self._last_uncertain: OriolepaddleError | None = None

    def run(self) -> None:
        """Serve the request.

        Raises:
            OriolepaddleError: It was refused or failed.
            OSError: The caller is gone.
        """
        parts = self._parts
        if parts.is_refusing() and not self._request.hops:
            raise RefusedError(
                "this instance is shutting down",
                code=ErrorCode.DRAINING,
                retry_after=timedelta(0),
            )
        admitted = admit(parts, self._request)
        self._admitted = admitted
        self._set_deadline(admitted)
        self._fingerprint = make_request_fingerprint(self._request)
        if parts.crashes.is_refused(self._fingerprint):
            raise RefusedError(
                "the request has crashed endpoints", code=ErrorCode.QUARANTINED
            )
        reservation = self._reserve(admitted)
        try:
            self._run_tries()
        finally:
            if reservation is not None and not self._has_run:
                reservation.release()

    @property
    def _has_run(self) -> bool:
        return self._runs > self._request.earlier_runs

    def log(self, event: str, **fields: object) -> None:
        """Log an event of this request with what decided it."""
        admitted = self._admitted
        now_s = self._parts.clock.monotonic_s()
        request = self._request
        organisation = admitted.organisation if admitted else None
        log_event(
            event,
            request_id=request.id,
            route=admitted.route.name if admitted else None,
            organisation=organisation.id if organisation else None,
            version=admitted.version if admitted else self._parts.catalog.version,
            knowledge_age_s=round(self._parts.catalog.age_s(), 3),
            target=self._target,
            tries=self._tries,
            hops=len(request.hops),
            expected_s=round(self._expected_s, 3),
            first_byte_s=self._round_elapsed(self._first_byte_s),
            elapsed_s=round(now_s - request.arrived_s, 3),
            **fields,
        )

    def _round_elapsed(self, moment_s: float | None) -> float | None:
        if moment_s is None:
            return None
        return round(moment_s - self._request.arrived_s, 3)

    def _set_deadline(self, admitted: Admitted) -> None:
        timeout_s = admitted.route.timeout.total_seconds()
        patience_s = self._request.patience_s
        left_s = timeout_s if patience_s is None else min(timeout_s, patience_s)
        self._deadline_s = self._request.arrived_s + left_s

    def _reserve(self, admitted: Admitted) -> Reservation | None:
        held = admitted.organisation
        # The instance that the caller reached has reserved the tokens.
        if held is None or self._request.hops:
            return None
        if held.organisation.rate_tokens_per_s <= 0:
            return None
        return self._parts.limiter.reserve(held.organisation, self._count_tokens(held))

    def _count_tokens(self, held: object) -> float:
        request = self._request
        if not held.is_token_rated:
            return 1.0
        if not request.has_token_counts:
            return float(held.plain_tokens)
        return float(request.input_tokens + request.output_tokens)

    def _run_tries(self) -> None:
        while True:
            try:
                self._try_once()
                self._note_answered()
                return
            except OriolepaddleError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    self._last_uncertain = error
                if self._prepare_repeat(error):
                    continue
                if self._failed_answer is None or self._writer.is_started:
                    raise self._find_final(error) from error
                # An endpoint's own failure says more than that the repeat
                # found no other endpoint.
                self._failed_answer.complete()
                self._note_answered()
                return

    def _try_once(self) -> None:
        now_s = self._parts.clock.monotonic_s()
        if self._deadline_s - now_s < LEAST_LEFT_S:
            raise EndpointDeadlineError("no time is left", outcome=Outcome.NOT_RUN)
        job = self._make_job(now_s)
        choice, peer = self._place(job)
        self._tries += 1
        if peer is not None:
            self._send_to_peer(peer, job)
        elif choice is not None:
            self._send_to_endpoint(choice, job)

    def _make_job(self, now_s: float) -> Job:
        admitted = self._admitted
        request = self._request
        target_s = admitted.route.target.total_seconds()
        on_time_s = target_s - (now_s - request.arrived_s)
        patience_s = max(on_time_s, LATE_PATIENCE_PART * target_s)
        return Job(
            service=admitted.service,
            parts=request.parts,
            input_tokens=request.input_tokens,
            output_tokens=request.output_tokens,
            patience_s=min(patience_s, self._deadline_s - now_s),
        )

    def _place(self, job: Job) -> tuple[Choice | None, PeerChoice | None]:
        parts = self._parts
        admitted = self._admitted
        refusal = RefusedError(
            "its region of residency cannot be reached",
            code=ErrorCode.RESIDENCY_UNSERVABLE,
            retry_after=RETURN_AFTER,
        )
        choice = None
        if admitted.allows_region(parts.region):
            try:
                choice = parts.placer.choose(job, self._excluded)
            except RefusedError as error:
                refusal = error
        peer = self._find_peer(job)
        if peer is not None and _is_better_away(choice, peer, job):
            return None, peer
        if choice is None:
            raise refusal
        return choice, None

    def _find_peer(self, job: Job) -> PeerChoice | None:
        if not self._may_leave:
            return None
        return self._parts.regions.choose(
            job.service, job.input_tokens, self._admitted.residency
        )

    def _send_to_endpoint(self, choice: Choice, job: Job) -> None:
        parts = self._parts
        endpoint = choice.endpoint
        self._target = endpoint.id
        self._expected_s = choice.expected_s
        run = parts.placer.start(choice, job)
        sink = self._make_sink(endpoint, run.begin)
        try:
            parts.transport.run(
                endpoint.address, self._make_endpoint_request(endpoint), sink
            )
            self._complete(sink)
            run.succeed()
        except OriolepaddleError as error:
            self._excluded.add(endpoint.incarnation)
            run.fail(isinstance(error, EndpointUnreachableError))
            self._note_failure(endpoint, sink, error)
            raise
        finally:
            run.end()
            self._runs += sink.is_sent and not _is_refusal(sink)

    def _complete(self, sink: EdgeSink) -> None:
        answer = sink.answer
        if answer is not None and answer.status >= SERVER_ERROR:
            error = EndpointFailedError(f"answered with status {answer.status}")
            self._runs += 1
            is_repeated = self._may_repeat(error) and self._take_repeat()
            self._runs -= 1
            if is_repeated:
                self._has_repeat = True
                self._failed_answer = sink
                raise error
        # The endpoint's own failure is an answer like any other.
        sink.complete()

    def _send_to_peer(self, peer: PeerChoice, job: Job) -> None:
        parts = self._parts
        self._target = peer.instance
        self._expected_s = peer.expected_s
        # It is passed on once, whatever becomes of it there.
        self._may_leave = False
        parts.regions.note_sent(peer, job.service, job.input_tokens)
        parts.metrics.forwards.labels(peer.region).inc()
        sink = self._make_sink(None, lambda: None)
        left_s = self._deadline_s - parts.clock.monotonic_s()
        headers = parts.protocol.write_peer_headers(
            self._request, left_s, self._splitter.last_id, self._runs
        )
        try:
            parts.peer_transport.run(
                peer.address, self._wrap(headers, ConnectionReuse.ANY), sink
            )
            sink.complete()
        except OriolepaddleError as error:
            self._note_failure(None, sink, error)
            raise
        finally:
            self._runs += sink.is_sent and not _is_refusal(sink)

    def _make_endpoint_request(self, endpoint: RegisteredEndpoint) -> EndpointRequest:
        organisation = self._admitted.organisation
        headers = self._parts.protocol.write_endpoint_headers(
            self._request,
            endpoint,
            organisation.id if organisation else None,
            self._deadline_s - self._parts.clock.monotonic_s(),
            self._splitter.last_id,
        )
        return self._wrap(headers, ConnectionReuse.IF_SURELY_OPEN)

    def _wrap(
        self, headers: tuple[tuple[str, str], ...], reuse: ConnectionReuse
    ) -> EndpointRequest:
        left_s = self._deadline_s - self._parts.clock.monotonic_s()
        return EndpointRequest(
            id="",
            method=self._request.method,
            path=self._request.target,
            headers=headers,
            body=self._request.body,
            is_idempotent=self._admitted.route.repeat_rule is not RepeatRule.ONCE,
            first_byte_timeout_s=left_s,
            stall_timeout_s=left_s,
            deadline_s=self._deadline_s,
            reuse=reuse,
        )

    def _make_sink(
        self, endpoint: RegisteredEndpoint | None, begin: object
    ) -> EdgeSink:
        def _on_first_byte() -> None:
            begin()
            if self._first_byte_s is None:
                now_s = self._parts.clock.monotonic_s()
                self._first_byte_s = now_s
                elapsed_s = now_s - self._request.arrived_s
                self._parts.metrics.first_byte_time.observe(elapsed_s)

        protocol = self._parts.protocol
        return EdgeSink(
            self._writer,
            self._splitter,
            lambda status, headers: protocol.read_answer(
                self._request.id, status, headers
            ),
            lambda: self._recheck(endpoint),
            _on_first_byte,
        )

    def _recheck(self, endpoint: RegisteredEndpoint | None) -> None:
        # The process may have slept since the request was admitted.
        if self._admitted.organisation is not None:
            check_knowledge(self._parts)
        if self._parts.catalog.version != self._admitted.version:
            self._admit_again()
        if endpoint is not None and not self._parts.catalog.may_send(endpoint):
            raise EndpointRefusedError(f"{endpoint.id} may get no work any more")

    def _admit_again(self) -> None:
        admitted = admit(self._parts, self._request)
        held = self._admitted
        is_same = (
            admitted.service == held.service
            and admitted.residency == held.residency
            and (admitted.organisation is None) == (held.organisation is None)
        )
        self._admitted = admitted
        if not is_same:
            raise EndpointRefusedError("the configuration has changed")

    def _note_answered(self) -> None:
        parts = self._parts
        parts.crashes.clear(self._fingerprint)
        parts.metrics.requests.labels(self._admitted.route.name).inc()
        if not self._request.hops:
            parts.allowance.note_request(self._admitted.service)
        self.log(
            "request_answered", events=self._splitter.events, runs=max(1, self._runs)
        )

    def _note_failure(
        self,
        endpoint: RegisteredEndpoint | None,
        sink: EdgeSink,
        error: OriolepaddleError,
    ) -> None:
        answer = sink.answer
        if endpoint is not None and sink.is_sent and answer is None:
            if type(error) is EndpointFailedError:
                self._parts.crashes.note(self._fingerprint, endpoint.incarnation)
        self.log(
            "try_failed",
            reason=error.code.code,
            outcome=error.outcome.value,
            detail=error.message,
            status=answer.status if answer else None,
            address=endpoint.address if endpoint else None,
        )

    def _prepare_repeat(self, error: OriolepaddleError) -> bool:
        is_allowed = self._may_repeat(error)
        if is_allowed and not isinstance(error, EndpointUnreachableError):
            is_allowed = self._has_repeat or self._take_repeat()
        self._has_repeat = False
        if is_allowed:
            self._splitter.drop_partial()
        action = "repeat" if is_allowed else "give_up"
        self._parts.metrics.retries.labels(action, error.code.code).inc()
        return is_allowed

    def _take_repeat(self) -> bool:
        return self._parts.allowance.take(self._admitted.service)

    def _may_repeat(self, error: OriolepaddleError) -> bool:
        if not isinstance(error, _REPEATABLE) or self._tries >= MAX_TRIES:
            return False
        left_s = self._deadline_s - self._parts.clock.monotonic_s()
        if left_s < LEAST_LEFT_S:
            return False
        if error.outcome is Outcome.NOT_RUN and not self._writer.is_started:
            return self._last_uncertain is None or self._may_run_again()
        if not self._may_run_again():
            return False
        is_resumable = self._admitted.route.repeat_rule is RepeatRule.RESUMABLE
        return is_resumable or not self._writer.is_started

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        if route.repeat_rule is RepeatRule.ONCE:
            return False
        return self._runs < route.max_attempts

    def _find_final(self, error: OriolepaddleError) -> OriolepaddleError:
        if error.outcome is Outcome.NOT_RUN and self._last_uncertain is not None:
            # An earlier try may have run, so "not run" would be untrue.
            return self._last_uncertain
        if error.outcome is Outcome.NOT_RUN and error.retry_after is None:
            error.retry_after = RETURN_AFTER
        return error


def _is_refusal(sink: EdgeSink) -> bool:
    return sink.answer is not None and sink.answer.kind.is_refusal


def _is_better_away(choice: Choice | None, peer: PeerChoice, job: Job) -> bool:
    if choice is None:
        return peer.expected_s <= job.patience_s
    return peer.expected_s + AWAY_GAIN_S < choice.expected_s
