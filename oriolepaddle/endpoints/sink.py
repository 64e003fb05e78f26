"""Interface that receives an answer from the transport."""

from typing import Protocol

__all__ = ["AnswerSink"]


class AnswerSink(Protocol):
    """Receives an answer as it arrives, on the thread that runs the attempt."""

    def before_send(self) -> None:
        """Check whether to send; called on a new or reused connection before its use.

        The process may have been suspended since the request was last checked.

        Raises:
            OriolepaddleError: The request must not be sent.
        """
        ...

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Receive the status and headers.

        Raises:
            OriolepaddleError: The answer is rejected; the attempt is cancelled.
        """
        ...

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body.

        Raises:
            OSError: The caller disconnected; the attempt is cancelled.
            OriolepaddleError: The answer is rejected; the attempt is cancelled.
        """
        ...

    def check(self) -> None:
        """Check whether to continue; called several times a second, from any thread.

        Raises:
            OSError: The caller disconnected; the attempt is cancelled.
            OriolepaddleError: The answer is rejected; the attempt is cancelled.
        """
        ...
