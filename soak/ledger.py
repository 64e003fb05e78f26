"""What callers sent and what came of it."""

import threading

import attrs

__all__ = ["Ledger", "SentRequest"]


@attrs.define
class SentRequest:
    """One request of a caller.

    Attributes:
        id: Its id.
        path: Its path; the first segment names the kind.
        key: The key shown.
        body: What was sent.
        sent_s: Monotonic time of the sending.
        status: The answer's status, or None if there was none.
        answer: The answer's body, or None if it was not whole.
        is_sent: Whether the whole request was sent.
        ended_s: Monotonic time of its end.
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
        """Note a request before it is sent."""
        with self._lock:
            self._requests[request.id] = request

    def all(self) -> dict[str, SentRequest]:
        """Return the requests by id."""
        with self._lock:
            return dict(self._requests)
