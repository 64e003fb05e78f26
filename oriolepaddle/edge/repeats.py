"""When a failed try of a request may be followed by another."""

from datetime import timedelta

from oriolepaddle.catalog import HostRoute, RepeatRule
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointError,
    OriolepaddleError,
    Outcome,
)

__all__ = ["LEAST_LEFT_S", "find_final_error", "may_repeat"]

MAX_TRIES = 4
"""Endpoints asked for one request, those that refused it included."""
LEAST_LEFT_S = 0.05
"""Time to the deadline below which a repeat cannot help."""
RETURN_AFTER = timedelta(milliseconds=200)
"""The pause of a caller whose request was not run."""
_REPEATABLE = (EndpointError, AnswerMismatchedError, AnswerTruncatedError)


def may_repeat(
    progress: ExchangeProgress,
    route: HostRoute,
    error: OriolepaddleError,
    left_s: float,
    has_answer: bool,
    runs_now: int = 0,
) -> bool:
    """Return whether a request may be sent again after a failure.

    Args:
        progress: Its tries.
        route: Its route.
        error: What ended the last try.
        left_s: Seconds to its deadline.
        has_answer: Whether the caller has a part of the answer.
        runs_now: Runs that have not ended, and that its progress does not count yet.
    """
    if not isinstance(error, _REPEATABLE) or progress.tries >= MAX_TRIES:
        return False
    if left_s < LEAST_LEFT_S:
        return False
    may_run_again = _may_run_again(progress.runs + runs_now, route)
    if error.outcome is Outcome.NOT_RUN and not has_answer:
        return progress.last_uncertain is None or may_run_again
    is_resumable = route.repeat_rule is RepeatRule.RESUMABLE
    return may_run_again and (is_resumable or not has_answer)


def find_final_error(
    progress: ExchangeProgress, error: OriolepaddleError
) -> OriolepaddleError:
    """Return what the caller is told when no try is left."""
    if error.outcome is not Outcome.NOT_RUN:
        return error
    if progress.last_uncertain is not None:
        # An earlier try may have run, so "not run" would be untrue.
        return progress.last_uncertain
    if error.retry_after is None:
        error.retry_after = RETURN_AFTER
    return error


def _may_run_again(runs: int, route: HostRoute) -> bool:
    if route.repeat_rule is RepeatRule.ONCE:
        return False
    return runs < route.max_attempts
