"""Base class of all exceptions of the project."""

from datetime import timedelta
from typing import ClassVar

from oriolepaddle.errors.code import ErrorCode
from oriolepaddle.errors.outcome import Outcome

__all__ = ["OriolepaddleError"]


class OriolepaddleError(Exception):
    """Base class of errors, each with a stable code and an outcome.

    Attributes:
        code: Entry in the table of error codes.
        message: Description of the error for logs and answers.
        outcome: Whether the request that caused the error was run.
        retry_after: Time after which a retry may succeed, or None.
    """

    default_code: ClassVar[ErrorCode] = ErrorCode.INTERNAL

    def __init__(
        self,
        message: str,
        *,
        code: ErrorCode | None = None,
        outcome: Outcome | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.code = code or self.default_code
        self.outcome = outcome or self.code.outcome
        self.retry_after = retry_after
