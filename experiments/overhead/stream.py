"""State of one streamed request of the load client."""

import json
import socket

import attrs

__all__ = ["ClientStream"]

_SENT_AT_FIELD = b'"sent_s": '


@attrs.define(eq=False)
class ClientStream:
    """A request in flight, with an incremental reader of its answer.

    Attributes:
        connection: Socket of the request.
        started_s: Time before the request was sent, on the monotonic clock.
        first_byte_s: Time at which the first event arrived, or None.
        status: The HTTP status, 0 before the status line arrived.
        is_done: Whether the final `[DONE]` event arrived.
        pending: Received bytes of an incomplete event.
    """

    connection: socket.socket
    started_s: float
    first_byte_s: float | None = None
    status: int = 0
    is_done: bool = False
    pending: bytes = b""

    def feed(self, data: bytes, now_s: float) -> list[float]:
        """Process received bytes and return the delay of each token in seconds."""
        self.pending += data
        if not self.status:
            if b"\r\n" not in self.pending:
                return []
            self.status = int(self.pending.split(b" ", 2)[1])
        if self.first_byte_s is None and b"data: " in self.pending:
            self.first_byte_s = now_s
        self.is_done = self.is_done or b"data: [DONE]" in self.pending
        return self._read_delays(now_s)

    def _read_delays(self, now_s: float) -> list[float]:
        complete_events, separator, incomplete_event = self.pending.rpartition(b"\n\n")
        if not separator:
            return []
        self.pending = incomplete_event
        delays = []
        for after_field in complete_events.split(_SENT_AT_FIELD)[1:]:
            sent_s = float(after_field.split(b",", 1)[0])
            delays.append(now_s - sent_s)
        return delays


def make_request(address: str, key: str, tokens: int) -> bytes:
    """Return the bytes of a streamed chat completion request."""
    body = json.dumps(
        {
            "model": "oriole-answers",
            "messages": [{"role": "user", "content": "When does the bus leave?"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {address}\r\nAuthorization: Bearer {key}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
