"""The interface to which a transport hands an answer."""

from typing import Protocol

__all__ = ["AnswerSink"]


class AnswerSink(Protocol):
    """Takes an answer as it arrives, on the thread that asked for it."""

    def before_send(self) -> None:
        """Say whether to send; called when a connection is made, before it is used.

        A process may have been paused since the request was checked.

        Raises:
            OriolepaddleError: The request is not sent.
        """
        ...

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the status and headers.

        Raises:
            OriolepaddleError: The answer is not wanted; the try is cancelled.
        """
        ...

    def on_data(self, data: bytes) -> None:
        """Take a part of the body.

        Raises:
            OSError: The caller is gone; the try is cancelled.
            OriolepaddleError: The answer is not wanted; the try is cancelled.
        """
        ...

    def check(self) -> None:
        """Say whether to go on; called several times a second, from any thread.

        Raises:
            OSError: The caller is gone; the try is cancelled.
            OriolepaddleError: The answer is not wanted; the try is cancelled.
        """
        ...
