"""Records the requests that callers sent and their results."""

import threading

import attrs

__all__ = ["Ledger", "SentRequest"]


@attrs.define
class SentRequest:
    """A request of a caller and its result.

    Attributes:
        id: The request id.
        path: The path; its first segment names the kind.
        key: The API key.
        body: The body.
        sent_s: Monotonic time of the send.
        status: The status of the answer; None without an answer, 0 if the caller
            disconnected on purpose.
        answer: The body of the answer, or None if it was incomplete.
        is_sent: Whether the whole request was sent.
        ended_s: Monotonic time of the end.
    """

    id: str
    path: str
    key: str
    body: bytes
    sent_s: float
    status: int | None = None
    answer: bytes | None = None
    is_sent: bool = False
    ended_s: float = 0.0


class Ledger:
    """All requests of a run; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: dict[str, SentRequest] = {}

    def add(self, request: SentRequest) -> None:
        """Record a request before it is sent."""
        with self._lock:
            self._requests[request.id] = request

    def all(self) -> dict[str, SentRequest]:
        """Return the requests by id."""
        with self._lock:
            return dict(self._requests)
