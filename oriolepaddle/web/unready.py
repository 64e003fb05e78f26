"""The application of a listener until its own application is set."""

from werkzeug.wrappers import Request

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["UnreadyApplication"]


class UnreadyApplication:
    """An `Application` that refuses every request."""

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Refuse a request.

        Raises:
            RefusedError: Always.
        """
        raise RefusedError("the instance is starting", code=ErrorCode.NOT_READY)
