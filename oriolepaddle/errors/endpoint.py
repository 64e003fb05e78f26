"""Errors of an endpoint's side."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "EndpointDeadlineError",
    "CommandWithheldError",
    "EndpointError",
    "EndpointFailedError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointTimeoutError",
    "EndpointUnreachableError",
]


class EndpointError(OriolepaddleError):
    """A failed exchange with an endpoint."""

    default_code = ErrorCode.ENDPOINT_FAILED


class EndpointUnreachableError(EndpointError):
    """No connection was made, so the request was not run."""

    default_code = ErrorCode.ENDPOINT_UNREACHABLE


class EndpointRefusedError(EndpointError):
    """The endpoint itself says that it did not run the request."""

    default_code = ErrorCode.ENDPOINT_REFUSED


class EndpointReplacedError(EndpointRefusedError):
    """Another endpoint has its address; it did not run the request."""


class EndpointTimeoutError(EndpointError):
    """The endpoint did not answer in time; it may have run the request."""

    default_code = ErrorCode.ENDPOINT_TIMEOUT


class EndpointDeadlineError(EndpointTimeoutError):
    """The request's own deadline passed, whatever the endpoint did."""


class EndpointFailedError(EndpointError):
    """The connection broke after the request was sent."""

    default_code = ErrorCode.ENDPOINT_FAILED


class CommandWithheldError(EndpointError):
    """An engine command that was not sent.

    Attributes:
        reason: Why, as a value of `commands.CommandOutcome`.
    """

    default_code = ErrorCode.COMMAND_WITHHELD

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message)
        self.reason = reason
