"""One streamed request of the load client."""

import json
import socket

import attrs

__all__ = ["ClientStream"]

_SENT = b'"sent_s": '


@attrs.define(eq=False)
class ClientStream:
    """A request in flight.

    Attributes:
        connection: Its socket.
        started_s: When it was sent.
        first_byte_s: When the first byte of the body came, or None.
        status: The HTTP status, 0 before the answer began.
        is_done: Whether the end mark came.
        pending: Bytes of an event that is not whole yet.
    """

    connection: socket.socket
    started_s: float
    first_byte_s: float | None = None
    status: int = 0
    is_done: bool = False
    pending: bytes = b""

    def feed(self, data: bytes, now_s: float) -> list[float]:
        """Take received bytes; return the delay of each token in seconds."""
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
        whole, separator, rest = self.pending.rpartition(b"\n\n")
        if not separator:
            return []
        self.pending = rest
        delays = []
        for part in whole.split(_SENT)[1:]:
            sent_s = float(part.split(b",", 1)[0])
            delays.append(now_s - sent_s)
        return delays


def make_request(address: str, key: str, tokens: int) -> bytes:
    """Return a chat request in bytes."""
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
