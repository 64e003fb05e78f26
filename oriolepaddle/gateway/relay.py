"""Handing an endpoint's answer to the caller."""

import json

from loguru import logger

from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointRefusedError,
    OriolepaddleError,
    Outcome,
)
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.web import AnswerWriter
from oriolepaddle.web.writer import write_error_body

__all__ = ["AnswerRelay"]

MAX_BUFFERED_BYTES = 4_000_000
EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]"
OUTCOME_HEADER = "x-request-outcome"
_REPEATED_STATUSES = (500, 502, 503, 504)
_PASSED_HEADERS = frozenset(
    {
        "cache-control",
        "content-disposition",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after",
        "x-request-outcome",
    }
)


class AnswerRelay:
    """An `AnswerSink` that checks an answer and writes it to the caller.

    An event stream is passed on as it arrives. Any other answer is held until
    it is whole, so that a failed try can be repeated unseen by the caller.

    Args:
        request: The request that is answered.
        writer: Where the answer goes.
        authenticator: Tells whether the key is still valid.
    """

    def __init__(
        self,
        request: CallerRequest,
        writer: AnswerWriter,
        authenticator: Authenticator,
    ) -> None:
        self._request = request
        self._writer = writer
        self._authenticator = authenticator
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._buffer = bytearray()
        self._tail = b""
        self._is_event_stream = False
        self.events = 0

    @property
    def is_event_stream(self) -> bool:
        """Whether the answer is passed on as it arrives."""
        return self._is_event_stream

    @property
    def bytes_written(self) -> int:
        """Bytes of the body that went to the caller."""
        return self._writer.body_bytes

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check the answer's head; see `AnswerSink.on_head`."""
        fields = {name.lower(): value for name, value in headers}
        self._check_refusal(status, fields)
        answered_id = fields.get("x-request-id")
        if answered_id is not None and answered_id != self._request.id:
            raise AnswerMismatchedError(f"the answer belongs to request {answered_id}")
        self._status = status
        self._headers = tuple(
            (name, value) for name, value in headers if name.lower() in _PASSED_HEADERS
        )
        content_type = fields.get("content-type", "")
        self._is_event_stream = content_type.startswith(EVENT_STREAM)

    def on_data(self, data: bytes) -> None:
        """Pass on or hold a part of the answer; see `AnswerSink.on_data`."""
        if not self._is_event_stream:
            self._hold(data)
            return
        if not self._writer.is_started:
            self._writer.start(self._status, self._answer_headers())
        self._tail = (self._tail + data)[-64:]
        self.events += data.count(b"data: ")
        self._writer.write(data)

    def check(self) -> None:
        """Say whether to go on; see `AnswerSink.check`."""
        self._authenticator.recheck(self._request.key)
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller left")

    def complete(self) -> None:
        """End the answer.

        Raises:
            AnswerTruncatedError: The stream has no end mark.
            OSError: The caller is gone.
        """
        if self._is_event_stream:
            if DONE_EVENT not in self._tail:
                raise AnswerTruncatedError("the stream ended without its end mark")
            self._writer.finish()
            return
        self._writer.start(self._status, self._answer_headers(), len(self._buffer))
        self._writer.write(bytes(self._buffer))
        self._writer.finish()

    def cut(self, error: OriolepaddleError) -> None:
        """Tell the caller of a begun stream that it is cut short."""
        body = write_error_body(error, self._request.id)
        try:
            self._writer.write(b"event: error\ndata: " + body + b"\n\n")
        except OSError as write_error:
            logger.debug("caller left before the error: {}", write_error)

    def count_output_tokens(self) -> int:
        """Return the tokens of the answer, as far as it says."""
        if self._is_event_stream:
            return self.events
        try:
            return int(json.loads(self._buffer)["usage"]["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return 0

    def _check_refusal(self, status: int, fields: dict[str, str]) -> None:
        if fields.get(OUTCOME_HEADER) == "not-run" and status >= 400:
            raise EndpointRefusedError(f"the endpoint refused with status {status}")
        if status in _REPEATED_STATUSES and self._request.is_idempotent:
            raise EndpointFailedError(
                f"the endpoint answered with status {status}", outcome=Outcome.UNKNOWN
            )

    def _hold(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            raise AnswerTruncatedError(
                f"the answer is larger than {MAX_BUFFERED_BYTES} bytes"
            )

    def _answer_headers(self) -> list[tuple[str, str]]:
        return [*self._headers, ("X-Request-Id", self._request.id)]
