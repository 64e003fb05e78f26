"""Collects the whole response to an order in memory."""

from collections.abc import Callable

from oriolepaddle.buffers import BodyBuffer, BufferBudget
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointRefusedError,
)
from oriolepaddle.gateway.relay import make_head
from oriolepaddle.orders import OrderAnswer

__all__ = ["AnswerCollector"]

MAX_ANSWER_BYTES = 1_000_000
_STORED_HEADERS = frozenset({"content-type", "location", "retry-after"})


class AnswerCollector:
    """An `AnswerSink` for orders, whose answers are stored for repeats.

    Args:
        request_id: The id of the request. A response with another id is rejected.
        recheck: Called just before the order is sent; raises an error if the order
            may no longer be run.
        budget: Bounds the bytes that are collected.
    """

    def __init__(
        self, request_id: str, recheck: Callable[[], None], budget: BufferBudget
    ) -> None:
        self._request_id = request_id
        self._recheck = recheck
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = BodyBuffer(budget)

    def before_send(self) -> None:
        """Check the order again; see `AnswerSink.before_send`."""
        self._recheck()

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check and store the status and headers; see `AnswerSink.on_head`."""
        head = make_head(status, headers)
        fields = {name.lower(): value for name, value in headers}
        if fields.get("x-request-outcome") == "not-run" and status >= 400:
            raise EndpointRefusedError(
                f"the endpoint refused the order with status {status}"
            )
        if head.request_id not in (None, self._request_id):
            raise AnswerMismatchedError(
                f"the response belongs to request {head.request_id}"
            )
        self._status = status
        self._headers = tuple(
            (name, value) for name, value in headers if name.lower() in _STORED_HEADERS
        )

    def on_data(self, data: bytes) -> None:
        """Store a part of the body; see `AnswerSink.on_data`."""
        if not self._body.append(data):
            raise AnswerTruncatedError("no memory is left to collect the response")
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerTruncatedError(
                f"the response is larger than {MAX_ANSWER_BYTES} bytes"
            )

    def check(self) -> None:
        """Do nothing: an order continues even if its caller disconnects."""

    def make_answer(self) -> OrderAnswer:
        """Return the collected response."""
        return OrderAnswer(
            status=self._status,
            headers=self._headers,
            body=bytes(self._body.data),
            request_id=self._request_id,
        )

    def discard(self) -> None:
        """Drop what was collected."""
        self._body.discard()
