"""Decides whether a failed attempt is retried."""

import random
import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, Outcome
from oriolepaddle.retries.action import RetryAction
from oriolepaddle.retries.budget import RetryBudget
from oriolepaddle.retries.decision import RetryDecision
from oriolepaddle.retries.failure import Failure
from oriolepaddle.retries.reason import RetryReason
from oriolepaddle.retries.settings import RetrySettings

__all__ = ["RETRYABLE_CODES", "RetryPolicy"]

RETRYABLE_CODES = frozenset(
    {
        ErrorCode.ANSWER_MISMATCHED,
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.DRAINING,
        ErrorCode.ENDPOINT_FAILED,
        ErrorCode.ENDPOINT_REFUSED,
        ErrorCode.ENDPOINT_TIMEOUT,
        ErrorCode.ENDPOINT_UNREACHABLE,
        ErrorCode.NOT_READY,
        ErrorCode.OVERLOADED,
        ErrorCode.PEER_REJECTED,
        ErrorCode.PEER_TIMEOUT,
        ErrorCode.PEER_UNAVAILABLE,
    }
)
"""Errors after which another endpoint or instance may succeed."""

TIMEOUT_CODES = frozenset({ErrorCode.ENDPOINT_TIMEOUT, ErrorCode.PEER_TIMEOUT})
"""Errors that may be caused by an overload of all endpoints."""

INSTANCE_KEY = "instance"


class RetryPolicy:
    """Decides on retries; each instance has one policy.

    Each retry draws on three budgets. The instance's budget bounds the retries
    that any fault adds. The budgets of the organisation and of the failing endpoint
    prevent one of them from exhausting the instance's budget.

    Args:
        clock: The source of time.
        settings: The limits.
        rng: The source of the random delays.
    """

    def __init__(
        self, clock: Clock, settings: RetrySettings, rng: random.Random
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._lock = threading.Lock()
        self._instance = RetryBudget(settings.budget_cap, 0.0, 1)
        self._organisations = RetryBudget(
            settings.organisation_cap,
            settings.organisation_share,
            settings.max_organisations,
        )
        self._endpoints = RetryBudget(
            settings.endpoint_cap, settings.endpoint_share, settings.max_endpoints
        )

    def record_success(self, organisation: str, endpoint: str) -> None:
        """Add to the budgets after a complete response was sent."""
        ratio = self._settings.budget_ratio
        with self._lock:
            self._instance.deposit(INSTANCE_KEY, ratio)
            self._organisations.deposit(organisation, ratio)
            self._endpoints.deposit(endpoint, ratio)

    def decide(self, failure: Failure) -> RetryDecision:
        """Return what to do after `failure`, based on the current time."""
        refusal = self._find_refusal(failure)
        if refusal is not None:
            return RetryDecision(RetryAction.GIVE_UP, refusal)
        delay = self._draw_delay(failure.attempt)
        if not self._has_time(failure, delay):
            return RetryDecision(RetryAction.GIVE_UP, RetryReason.DEADLINE)
        exhausted = self._withdraw(failure)
        if exhausted is not None:
            return RetryDecision(RetryAction.GIVE_UP, exhausted)
        if failure.bytes_sent_to_caller > 0:
            return RetryDecision(RetryAction.RESUME, RetryReason.RESUMABLE, delay)
        if failure.error.outcome is Outcome.NOT_RUN:
            return RetryDecision(RetryAction.RETRY, RetryReason.NOT_RUN, delay)
        return RetryDecision(RetryAction.RETRY, RetryReason.IDEMPOTENT, delay)

    def _find_refusal(self, failure: Failure) -> RetryReason | None:
        is_not_run = failure.error.outcome is Outcome.NOT_RUN
        if not failure.is_idempotent:
            # Response bytes contradict the outcome "not run", so the outcome is
            # treated as unknown.
            if not is_not_run or failure.bytes_sent_to_caller > 0:
                return RetryReason.OUTCOME_UNKNOWN
        if failure.error.code not in RETRYABLE_CODES:
            return RetryReason.NOT_RETRYABLE
        if failure.bytes_sent_to_caller > 0 and not failure.is_resumable:
            return RetryReason.BYTES_SENT
        if failure.attempt >= self._settings.max_attempts:
            return RetryReason.ATTEMPTS_EXHAUSTED
        return None

    def _has_time(self, failure: Failure, delay: timedelta) -> bool:
        needed = delay + self._settings.min_remaining
        remaining_s = failure.deadline_s - self._clock.monotonic_s()
        return remaining_s > needed.total_seconds()

    def _draw_delay(self, attempt: int) -> timedelta:
        """Return a delay of exponential backoff with full jitter."""
        settings = self._settings
        doublings = min(attempt - 1, 16)
        ceiling = min(settings.max_delay, settings.first_delay * 2**doublings)
        return ceiling * self._rng.random()

    def _withdraw(self, failure: Failure) -> RetryReason | None:
        """Withdraw from all budgets, or return the reason of an exhausted one."""
        tokens = 1.0
        if failure.error.code in TIMEOUT_CODES:
            tokens = self._settings.timeout_cost
        draws = (
            (
                self._organisations,
                failure.organisation,
                RetryReason.ORGANISATION_BUDGET,
            ),
            (self._endpoints, failure.endpoint, RetryReason.ENDPOINT_BUDGET),
            (self._instance, INSTANCE_KEY, RetryReason.INSTANCE_BUDGET),
        )
        with self._lock:
            for budget, name, reason in draws:
                if not budget.can_withdraw(name, tokens):
                    return reason
            for budget, name, _ in draws:
                budget.withdraw(name, tokens)
        return None
