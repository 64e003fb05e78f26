"""The interface to which a transport hands an answer."""

from typing import Protocol

__all__ = ["AnswerSink"]


class AnswerSink(Protocol):
    """Takes an answer as it arrives, on the thread that asked for it."""

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
