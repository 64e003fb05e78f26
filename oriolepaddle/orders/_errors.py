"""Errors for orders that are refused or have no answer."""

from oriolepaddle.errors import (
    ErrorCode,
    OrderError,
    OriolepaddleError,
    Outcome,
    RefusedError,
)

__all__ = [
    "answer_not_stored_error",
    "conflict_error",
    "draining_error",
    "in_progress_error",
    "as_not_run",
    "error_for_repeat",
    "outcome_unknown_error",
]


def answer_not_stored_error() -> OrderError:
    """Return the error for an order whose answer is no longer stored."""
    return OrderError(
        "the order has run; its answer is no longer stored",
        code=ErrorCode.ORDER_ANSWER_GONE,
    )


def conflict_error() -> RefusedError:
    """Return the refusal of a number that was used for another request."""
    return RefusedError(
        "the order number was used before with another request",
        code=ErrorCode.ORDER_CONFLICT,
    )


def draining_error() -> RefusedError:
    """Return the refusal of a new order by an instance that is draining."""
    return RefusedError(
        "the instance is draining and accepts no new orders", code=ErrorCode.DRAINING
    )


def in_progress_error() -> OrderError:
    """Return the error for a repeat of an order that is still running."""
    return OrderError(
        "the order is still running; repeat the request with the same number",
        code=ErrorCode.ORDER_IN_PROGRESS,
    )


def as_not_run(error: OriolepaddleError) -> RefusedError:
    """Return a refusal with the message and code of `error`, for an order not run."""
    return RefusedError(
        error.message,
        code=error.code,
        outcome=Outcome.NOT_RUN,
        retry_after=error.retry_after,
    )


def outcome_unknown_error(reason: str) -> OrderError:
    """Return the error for an order that may or may not have run."""
    return OrderError(f"the outcome of the order is unknown: {reason}")


def error_for_repeat(error: OriolepaddleError) -> OriolepaddleError:
    """Return the error for a repeat that waited for a failed run."""
    if error.outcome is not Outcome.NOT_RUN:
        return outcome_unknown_error(f"its run failed: {error.message}")
    return as_not_run(error)
