"""Error of a call that the instance answered with an error."""

from oriolepaddle.errors import ErrorCode, OriolepaddleError

__all__ = ["CallFailedError"]


class CallFailedError(OriolepaddleError):
    """The instance answered a call with an error."""

    default_code = ErrorCode.INTERNAL
