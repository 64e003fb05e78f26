"""The errors with which an order is refused or left unanswered."""

from oriolepaddle.errors import (
    ErrorCode,
    OrderError,
    OriolepaddleError,
    Outcome,
    RefusedError,
)

__all__ = [
    "answer_gone",
    "conflict",
    "draining",
    "in_progress",
    "not_sent",
    "repeat_of",
    "unknown",
]


def answer_gone() -> OrderError:
    """Return the error for an order whose answer is no longer kept."""
    return OrderError(
        "the order has run; its answer is no longer kept",
        code=ErrorCode.ORDER_ANSWER_GONE,
    )


def conflict() -> RefusedError:
    """Return the refusal of a number that was used for another request."""
    return RefusedError(
        "the order number was used before with another request",
        code=ErrorCode.ORDER_CONFLICT,
    )


def draining() -> RefusedError:
    """Return the refusal of a first run by an instance that is leaving."""
    return RefusedError(
        "the issuer is leaving and runs no new orders", code=ErrorCode.DRAINING
    )


def in_progress() -> OrderError:
    """Return the error for a repeat of an order that is still running."""
    return OrderError(
        "the order is still running; ask again with the same number",
        code=ErrorCode.ORDER_IN_PROGRESS,
    )


def not_sent(error: OriolepaddleError) -> RefusedError:
    """Return the refusal of an order for which a check before the send failed."""
    return RefusedError(
        error.message,
        code=error.code,
        outcome=Outcome.NOT_RUN,
        retry_after=error.retry_after,
    )


def unknown(reason: str) -> OrderError:
    """Return the error for an order that may or may not have run."""
    return OrderError(f"the order may have run: {reason}")


def repeat_of(error: OriolepaddleError) -> OriolepaddleError:
    """Return the error for a repeat that waited for a run which failed so."""
    if error.outcome is not Outcome.NOT_RUN:
        return unknown(f"its run failed: {error.message}")
    return not_sent(error)
