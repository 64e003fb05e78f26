"""Errors of the caller's side: what a request can be refused for."""

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
    """A request that the gateway did not run; the code tells why."""

    default_code = ErrorCode.OVERLOADED


class MalformedRequestError(RefusedError):
    """A request that could not be parsed."""

    default_code = ErrorCode.MALFORMED_REQUEST


class AuthenticationError(RefusedError):
    """A missing, unknown or withdrawn key."""

    default_code = ErrorCode.KEY_UNKNOWN


class AnswerMismatchedError(OriolepaddleError):
    """An answer that carries another request's id."""

    default_code = ErrorCode.ANSWER_MISMATCHED


class AnswerTruncatedError(OriolepaddleError):
    """An answer that ended before it was whole."""

    default_code = ErrorCode.ANSWER_TRUNCATED


class AnswerMalformedError(OriolepaddleError):
    """An answer that breaks its format or is larger than a bound."""

    default_code = ErrorCode.ANSWER_MALFORMED


class OrderError(OriolepaddleError):
    """A non-idempotent request whose answer cannot be given."""

    default_code = ErrorCode.ORDER_OUTCOME_UNKNOWN
