"""The base of every exception of the project."""

from datetime import timedelta
from typing import ClassVar

from oriolepaddle.errors.code import ErrorCode
from oriolepaddle.errors.outcome import Outcome

__all__ = ["OriolepaddleError"]


class OriolepaddleError(Exception):
    """An error with a stable code and a stated outcome.

    Attributes:
        code: The entry in the error table.
        message: What happened, for the reader of a log or an answer.
        outcome: Whether the request behind the error was run.
        retry_after: When it may help to try again, or None.
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
