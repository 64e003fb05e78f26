"""Error of a failed command."""

from oriolepaddle.errors import ErrorCode, OriolepaddleError

__all__ = ["CallFailedError"]


class CallFailedError(OriolepaddleError):
    """The instance answered a call with an error, or a local file is unreadable."""

    default_code = ErrorCode.INTERNAL
