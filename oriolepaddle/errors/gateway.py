"""Errors of requests and answers that the gateway reports to callers."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "AnswerMalformedError",
    "AnswerMismatchedError",
    "AnswerTruncatedError",
    "AuthenticationError",
    "MalformedRequestError",
    "OrderError",
    "RefusedError",
]


class RefusedError(OriolepaddleError):
    """The gateway did not run the request; the code gives the reason."""

    default_code = ErrorCode.OVERLOADED


class MalformedRequestError(RefusedError):
    """The request could not be parsed."""

    default_code = ErrorCode.MALFORMED_REQUEST


class AuthenticationError(RefusedError):
    """The key is missing, unknown or withdrawn."""

    default_code = ErrorCode.KEY_UNKNOWN


class AnswerMismatchedError(OriolepaddleError):
    """The answer carries the id of another request."""

    default_code = ErrorCode.ANSWER_MISMATCHED


class AnswerTruncatedError(OriolepaddleError):
    """The answer ended before it was complete."""

    default_code = ErrorCode.ANSWER_TRUNCATED


class AnswerMalformedError(OriolepaddleError):
    """The answer violates its format or exceeds a size limit."""

    default_code = ErrorCode.ANSWER_MALFORMED


class OrderError(OriolepaddleError):
    """The answer of a non-idempotent request cannot be returned."""

    default_code = ErrorCode.ORDER_OUTCOME_UNKNOWN
