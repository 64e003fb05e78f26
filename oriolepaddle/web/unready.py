"""What a listener serves before its application is set."""

from werkzeug.wrappers import Request

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["UnreadyApplication"]


class UnreadyApplication:
    """Refuses every request; an `Application`."""

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Refuse a request.

        Raises:
            RefusedError: Always.
        """
        raise RefusedError("the instance is starting", code=ErrorCode.NOT_READY)
