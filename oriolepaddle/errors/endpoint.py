"""Errors of exchanges with endpoints."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "CommandWithheldError",
    "EndpointDeadlineError",
    "EndpointError",
    "EndpointFailedError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointTimeoutError",
    "EndpointUnreachableError",
    "RefusalUnconfirmedError",
]


class EndpointError(OriolepaddleError):
    """An exchange with an endpoint failed."""

    default_code = ErrorCode.ENDPOINT_FAILED


class EndpointUnreachableError(EndpointError):
    """No connection was established, so the request was not run."""

    default_code = ErrorCode.ENDPOINT_UNREACHABLE


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it did not run the request."""

    default_code = ErrorCode.ENDPOINT_REFUSED


class EndpointReplacedError(EndpointRefusedError):
    """The address now belongs to another endpoint, which did not run the request."""


class EndpointTimeoutError(EndpointError):
    """The endpoint did not answer in time.

    `outcome` says whether it may have run the request.
    """

    default_code = ErrorCode.ENDPOINT_TIMEOUT


class EndpointDeadlineError(EndpointTimeoutError):
    """The request's deadline passed or is too close; no fault of the endpoint."""


class EndpointFailedError(EndpointError):
    """The exchange failed after the request was sent; the endpoint may have run it."""

    default_code = ErrorCode.ENDPOINT_FAILED


class RefusalUnconfirmedError(EndpointFailedError):
    """The endpoint's status says "not run", but it may have run the request."""

    default_code = ErrorCode.REFUSAL_UNCONFIRMED


class CommandWithheldError(EndpointError):
    """An engine command was not sent.

    Attributes:
        reason: Why it was not sent, as a value of `commands.CommandOutcome`.
    """

    default_code = ErrorCode.COMMAND_WITHHELD

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message)
        self.reason = reason
