"""The interface of what a server serves."""

from typing import Protocol

from werkzeug.wrappers import Request

from oriolepaddle.web.writer import AnswerWriter

__all__ = ["Application"]


class Application(Protocol):
    """Answers requests on the thread of their connection."""

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request.

        Args:
            request: The request, its body not read yet.
            writer: Where the answer goes.

        Raises:
            OriolepaddleError: It is written as the answer if none was begun;
                else the answer is cut short.
        """
        ...
