"""Error responses to callers."""

from oriolepaddle.errors import OriolepaddleError, Outcome
from oriolepaddle.web.writer import AnswerWriter, write_error_body

__all__ = ["write_refusal"]

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
_NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 408, 413, 421, 429, 431, 503))
_UNKNOWN_STATUSES = frozenset((502, 504))


def write_refusal(
    writer: AnswerWriter, error: OriolepaddleError, request_id: str
) -> int:
    """Send an error response, keep the connection open, and return the status.

    The status implies the outcome: the statuses for requests that were not run are
    never used for a request that may have run.
    """
    status = find_status(error)
    headers = [("X-Request-Outcome", error.outcome.value.replace(" ", "-"))]
    if error.retry_after is not None:
        headers.append(("Retry-After", f"{error.retry_after.total_seconds():.3f}"))
    body = write_error_body(error, request_id)
    writer.answer(status, body, "application/json", headers)
    return status


def find_status(error: OriolepaddleError) -> int:
    """Return the HTTP status for the code and the outcome of an error."""
    status = error.code.status
    if error.outcome is Outcome.NOT_RUN:
        return status if status in _NOT_RUN_STATUSES else NOT_RUN_STATUS
    return status if status in _UNKNOWN_STATUSES else UNKNOWN_STATUS
