"""Rules for retrying a failed attempt of a request."""

from datetime import timedelta

from oriolepaddle.catalog import HostRoute, RepeatRule
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointError,
    OriolepaddleError,
    Outcome,
)

__all__ = ["MIN_REMAINING_S", "find_final_error", "may_retry"]

MAX_ATTEMPTS = 4
"""Attempts of one request, including those that an endpoint refused."""
MIN_REMAINING_S = 0.05
"""Time to the deadline below which a retry can't succeed."""
RETRY_AFTER = timedelta(milliseconds=200)
"""Retry delay sent to callers whose request was not run."""
_RETRYABLE_ERRORS = (
    EndpointError,
    AnswerMalformedError,
    AnswerMismatchedError,
    AnswerTruncatedError,
)


def may_retry(
    progress: ExchangeProgress,
    route: HostRoute,
    error: OriolepaddleError,
    remaining_s: float,
    has_answer: bool,
) -> bool:
    """Return whether a request may be sent again after a failure.

    Args:
        progress: The attempts of the request.
        route: The route of the request.
        error: The error that ended the last attempt.
        remaining_s: Seconds to the deadline.
        has_answer: Whether a part of the response has been sent to the caller.
    """
    if not isinstance(error, _RETRYABLE_ERRORS) or progress.attempts >= MAX_ATTEMPTS:
        return False
    if remaining_s < MIN_REMAINING_S:
        return False
    may_run_again = _may_run_again(progress.possible_runs, route)
    if error.outcome is Outcome.NOT_RUN and not has_answer:
        return progress.last_uncertain_error is None or may_run_again
    is_resumable = route.repeat_rule is RepeatRule.RESUMABLE
    return may_run_again and (is_resumable or not has_answer)


def find_final_error(
    progress: ExchangeProgress, error: OriolepaddleError
) -> OriolepaddleError:
    """Return the error for the caller after the last attempt."""
    if error.outcome is not Outcome.NOT_RUN:
        return error
    if progress.last_uncertain_error is not None:
        # An earlier attempt may have run, so "not run" would be wrong.
        return progress.last_uncertain_error
    if error.retry_after is None:
        error.retry_after = RETRY_AFTER
    return error


def _may_run_again(runs: int, route: HostRoute) -> bool:
    if route.repeat_rule is RepeatRule.ONCE:
        return False
    return runs < route.max_attempts
