"""An HTTP client for the demo's instances."""

import http.client
import json

import attrs

from oriolepaddle.clock import Clock

__all__ = ["CallResult", "DemoCaller"]

SOCKET_TIMEOUT_S = 30


@attrs.frozen
class CallResult:
    """The result of one request.

    Attributes:
        status: The HTTP status; 0 if the connection failed.
        body: The received part of the body.
        elapsed_s: Seconds until the end of the answer.
        is_complete: Whether the answer was complete.
    """

    status: int
    body: bytes
    elapsed_s: float
    is_complete: bool

    @property
    def code(self) -> str:
        """The error code, or an empty string."""
        try:
            return json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""


class DemoCaller:
    """Sends requests with one organisation's key.

    Args:
        clock: The clock for response times.
        key: The API key.
    """

    def __init__(self, clock: Clock, key: str) -> None:
        self._clock = clock
        self._key = key

    def chat(
        self, address: str, model: str, prompt: str, tokens: int = 16
    ) -> CallResult:
        """Send a streamed chat request to a model."""
        document = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
        result = self.post(address, "/v1/chat/completions", document)
        is_complete = result.body.endswith(b"data: [DONE]\n\n")
        return attrs.evolve(result, is_complete=result.is_complete and is_complete)

    def order(
        self, address: str, service: str, document: dict, number: str | None
    ) -> CallResult:
        """Send an order to a plain service."""
        headers = {"Idempotency-Key": number} if number else {}
        return self.post(address, f"/services/{service}/orders", document, headers)

    def issue(self, address: str, service: str) -> str:
        """Return a new order number, or an empty string if none was issued."""
        result = self.post(address, "/v1/orders", {"route": service})
        return json.loads(result.body).get("order", "")

    def post(
        self,
        address: str,
        path: str,
        document: dict,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send a request and read the complete answer."""
        started_s = self._clock.monotonic_s()
        connection = http.client.HTTPConnection(address, timeout=SOCKET_TIMEOUT_S)
        request_headers = {"Authorization": f"Bearer {self._key}"} | (headers or {})
        try:
            connection.request("POST", path, json.dumps(document), request_headers)
            response = connection.getresponse()
            status, body, is_complete = _read(response)
        except (OSError, http.client.HTTPException):
            status, body, is_complete = 0, b"", False
        finally:
            connection.close()
        elapsed_s = self._clock.monotonic_s() - started_s
        return CallResult(status, body, elapsed_s, is_complete)


def _read(response: http.client.HTTPResponse) -> tuple[int, bytes, bool]:
    try:
        return response.status, response.read(), True
    except http.client.IncompleteRead as error:
        return response.status, error.partial, False
