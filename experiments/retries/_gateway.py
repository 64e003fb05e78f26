"""A model of an instance: the real decision classes with simple routing."""

import attrs
import numpy as np

from experiments.retries._endpoint import EndpointModel
from experiments.retries._events import EventLoop
from experiments.retries._hedging import Hedging
from experiments.retries._measures import Measures
from experiments.retries._request import Attempt, Request
from oriolepaddle.errors import (
    EndpointTimeoutError,
    ErrorCode,
    OriolepaddleError,
    RefusedError,
)
from oriolepaddle.quarantine import CrashEvidence, Quarantine, Run, StartAction
from oriolepaddle.retries import Failure, RetryAction, RetryPolicy

__all__ = ["DEADLINE_S", "GatewayModel"]

DEADLINE_S = 12.0
ATTEMPT_TIMEOUT_S = 4.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0


@attrs.define(eq=False)
class _Exchange:
    """A request with its attempts in flight."""

    request: Request
    attempt: int = 1
    attempted: set[str] = attrs.Factory(set)
    in_flight: dict[Attempt, Run | None] = attrs.Factory(dict)
    is_over: bool = False

    @property
    def deadline_s(self) -> float:
        """The deadline of the answer, in seconds."""
        return self.request.arrived_s + DEADLINE_S


@attrs.define
class _Health:
    """Recent failures of an endpoint and its attempts in flight."""

    failures: int = 0
    skip_until_s: float = 0.0
    in_flight: int = 0


class GatewayModel:
    """Routes by two random choices and skips endpoints that failed recently.

    Args:
        loop: The event loop.
        endpoints: All endpoints by name.
        policy: The retry policy, or None for no retries.
        hedging: The hedging, or None.
        quarantine: The quarantine, or None.
        measures: Collects the counts.
        rng: The source of randomness for the choice of endpoints.
        is_blind: Whether routing ignores failures of endpoints.
        on_end: Called with each request that ends, and its error or None.
    """

    def __init__(
        self,
        loop: EventLoop,
        endpoints: dict[str, EndpointModel],
        policy: RetryPolicy | None,
        hedging: Hedging | None,
        quarantine: Quarantine | None,
        measures: Measures,
        rng: np.random.Generator,
        is_blind: bool,
    ) -> None:
        self._loop = loop
        self._endpoints = endpoints
        self._policy = policy
        self._hedging = hedging
        self.quarantine = quarantine
        self._measures = measures
        self._rng = rng
        self._is_blind = is_blind
        self._health = {name: _Health() for name in endpoints}
        self.on_end = lambda request, error: None

    def arrive(self, request: Request) -> None:
        """Handle a request from its caller."""
        exchange = _Exchange(request)
        self._loop.schedule(DEADLINE_S, self._expire, exchange)
        self._start_attempt(exchange)

    def _start_attempt(self, exchange: _Exchange) -> None:
        if exchange.is_over:
            return
        try:
            endpoint, run, wait_s = self._pick_endpoint(exchange)
        except RefusedError as error:
            if not exchange.request.is_crasher:
                self._measures.harmless_refused += 1
            self._end(exchange, error)
            return
        if endpoint is None:
            exchange.request.waited_s += wait_s
            self._loop.schedule(wait_s, self._start_attempt, exchange)
            return
        self._submit(exchange, endpoint, run)
        self._schedule_hedge(exchange)

    def _pick_endpoint(
        self, exchange: _Exchange
    ) -> tuple[str | None, Run | None, float]:
        """Return the endpoint and its run, or the time to wait, in seconds."""
        order = self._order_candidates(exchange.attempted)
        if self.quarantine is None:
            return order[0], None, 0.0
        fingerprint = exchange.request.fingerprint
        if self.quarantine.has_active_crashes(fingerprint):
            order.sort(key=lambda name: self._health[name].in_flight)
        avoided = []
        for name in order:
            advice = self.quarantine.advise_start(fingerprint, name)
            if advice.action is StartAction.START:
                return name, self.quarantine.start_run(fingerprint, name), 0.0
            if advice.action is StartAction.AVOID:
                avoided.append(name)
            if advice.action is StartAction.WAIT:
                return None, None, advice.delay.total_seconds()
        if avoided:
            name = avoided[0]
            return name, self.quarantine.start_run(fingerprint, name), 0.0
        return None, None, 0.1

    def _order_candidates(self, attempted: set[str]) -> list[str]:
        """Return the candidates, the better of two random ones first."""
        now_s = self._loop.now_s
        names = [name for name in self._endpoints if name not in attempted]
        names = names or list(self._endpoints)
        if not self._is_blind:
            healthy = [n for n in names if self._health[n].skip_until_s <= now_s]
            names = healthy or names
        order = [names[index] for index in self._rng.permutation(len(names))]
        if len(order) > 1:
            first, second = (self._health[name].in_flight for name in order[:2])
            if second < first:
                order[0], order[1] = order[1], order[0]
        return order

    def _submit(self, exchange: _Exchange, endpoint: str, run: Run | None) -> None:
        attempt = Attempt(
            exchange.request,
            endpoint,
            lambda attempt: self._answer(exchange, attempt),
            lambda attempt, error, evidence: self._fail(
                exchange, attempt, error, evidence
            ),
        )
        exchange.attempted.add(endpoint)
        exchange.in_flight[attempt] = run
        self._health[endpoint].in_flight += 1
        self._loop.schedule(ATTEMPT_TIMEOUT_S, self._time_out, exchange, attempt)
        self._endpoints[endpoint].submit(attempt)

    def _answer(self, exchange: _Exchange, attempt: Attempt) -> None:
        run = self._remove_attempt(exchange, attempt)
        if run is not None:
            run.finish()
        self._health[attempt.endpoint].failures = 0
        if exchange.is_over:
            return
        latency_s = self._loop.now_s - exchange.request.arrived_s
        if self._policy is not None:
            self._policy.record_success(exchange.request.organisation, attempt.endpoint)
        if self._hedging is not None:
            self._hedging.record_answer(latency_s)
        self._end(exchange, None)

    def _time_out(self, exchange: _Exchange, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        self._endpoints[attempt.endpoint].cancel(attempt)
        self._fail(exchange, attempt, EndpointTimeoutError("late"), None)

    def _fail(
        self,
        exchange: _Exchange,
        attempt: Attempt,
        error: OriolepaddleError,
        evidence: CrashEvidence | None,
    ) -> None:
        run = self._remove_attempt(exchange, attempt)
        if run is not None and evidence is not None:
            run.fail(evidence)
        elif run is not None:
            run.abandon()
        health = self._health[attempt.endpoint]
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(health.failures, 10)
        )
        health.failures += 1
        health.skip_until_s = self._loop.now_s + backoff_s
        if exchange.is_over or exchange.in_flight:
            return
        self._retry_or_end(exchange, attempt, error)

    def _retry_or_end(
        self, exchange: _Exchange, attempt: Attempt, error: OriolepaddleError
    ) -> None:
        if self._policy is None:
            self._end(exchange, error)
            return
        failure = Failure(
            error=error,
            attempt=exchange.attempt,
            organisation=exchange.request.organisation,
            endpoint=attempt.endpoint,
            is_idempotent=exchange.request.is_idempotent,
            bytes_sent_to_caller=0,
            deadline_s=exchange.deadline_s,
            is_resumable=False,
        )
        decision = self._policy.decide(failure)
        if decision.action is RetryAction.GIVE_UP:
            self._end(exchange, error)
            return
        exchange.attempt += 1
        self._measures.retries += 1
        self._loop.schedule(
            decision.delay.total_seconds(), self._start_attempt, exchange
        )

    def _schedule_hedge(self, exchange: _Exchange) -> None:
        if self._hedging is None or not exchange.request.is_idempotent:
            return
        delay_s = self._hedging.find_delay_s()
        if delay_s is not None and exchange.attempt == 1:
            self._loop.schedule(delay_s, self._hedge, exchange)

    def _hedge(self, exchange: _Exchange) -> None:
        if exchange.is_over or not exchange.in_flight or exchange.attempt > 1:
            return
        if not self._hedging.try_acquire_token():
            return
        self._measures.hedges += 1
        self._submit(exchange, self._order_candidates(exchange.attempted)[0], None)

    def _remove_attempt(self, exchange: _Exchange, attempt: Attempt) -> Run | None:
        self._health[attempt.endpoint].in_flight -= 1
        return exchange.in_flight.pop(attempt)

    def _expire(self, exchange: _Exchange) -> None:
        if not exchange.is_over:
            error = RefusedError("late", code=ErrorCode.DEADLINE_UNREACHABLE)
            self._end(exchange, error)

    def _end(self, exchange: _Exchange, error: OriolepaddleError | None) -> None:
        exchange.is_over = True
        for attempt in list(exchange.in_flight):
            self._endpoints[attempt.endpoint].cancel(attempt)
            run = self._remove_attempt(exchange, attempt)
            if run is not None:
                run.abandon()
        request = exchange.request
        self._measures.record_end(request, self._loop.now_s, error is None)
        self.on_end(request, error)
