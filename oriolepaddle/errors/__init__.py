"""The exceptions that several packages use, each with a code and an outcome."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode
from oriolepaddle.errors.endpoint import (
    CommandWithheldError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    RefusalUnconfirmedError,
)
from oriolepaddle.errors.gateway import (
    AnswerMalformedError,
    AnswerMismatchedError,
    AnswerTruncatedError,
    AuthenticationError,
    MalformedRequestError,
    OrderError,
    RefusedError,
)
from oriolepaddle.errors.operator import (
    PermissionDeniedError,
    PlatformUnavailableError,
    SettingsError,
    TicketError,
)
from oriolepaddle.errors.outcome import Outcome
from oriolepaddle.errors.peer import (
    PeerError,
    PeerRejectedError,
    PeerTimeoutError,
    PeerUnavailableError,
)

__all__ = [
    "AnswerMalformedError",
    "AnswerMismatchedError",
    "AnswerTruncatedError",
    "AuthenticationError",
    "CommandWithheldError",
    "EndpointDeadlineError",
    "EndpointError",
    "EndpointFailedError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointTimeoutError",
    "EndpointUnreachableError",
    "ErrorCode",
    "MalformedRequestError",
    "OrderError",
    "OriolepaddleError",
    "Outcome",
    "PeerError",
    "PeerRejectedError",
    "PeerTimeoutError",
    "PeerUnavailableError",
    "PermissionDeniedError",
    "PlatformUnavailableError",
    "RefusalUnconfirmedError",
    "RefusedError",
    "SettingsError",
    "TicketError",
]
