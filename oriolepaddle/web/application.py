"""The interface of applications that a server runs."""

from typing import Protocol

from werkzeug.wrappers import Request

from oriolepaddle.web.writer import AnswerWriter

__all__ = ["Application"]


class Application(Protocol):
    """Handles requests, each on the thread of its connection."""

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Handle one request.

        Args:
            request: The request.
            writer: Writes the response.

        Raises:
            OriolepaddleError: If no response was begun, the server sends the error as
                the response; else it closes the connection.
        """
        ...
