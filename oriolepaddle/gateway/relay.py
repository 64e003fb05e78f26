"""Relays an endpoint's response to the caller."""

import json
from collections.abc import Callable

from loguru import logger

from oriolepaddle.buffers import BodyBuffer, BufferBudget
from oriolepaddle.clock import Clock
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointRefusedError,
    OriolepaddleError,
)
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.streams import (
    AnswerCheck,
    EventBody,
    StreamHead,
    StreamLimits,
    make_truncation_event,
)
from oriolepaddle.web import AnswerWriter

__all__ = ["AnswerRelay", "RESUME_HEADER", "make_head"]

MAX_BUFFERED_BYTES = 4_000_000
ABANDONED_CHECK_INTERVAL_S = 1.0
EVENT_STREAM = "text/event-stream"
RESUME_HEADER = "X-Resume-Offset"
_REFUSAL_STATUSES = (429, 503)
_RETRYABLE_STATUSES = (500, 502, 503, 504)
_RELAYED_HEADERS = frozenset(
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
    """An `AnswerSink` that checks a response and writes it to the caller.

    An event stream is relayed as it arrives, over several connections if it is
    resumed. Any other response is buffered until it is complete, so that a failed
    attempt can be retried without the caller noticing.

    Args:
        clock: Measures the times to the first byte and between tokens.
        request: The request.
        writer: Writes the response to the caller.
        authenticator: Checks that the key is still valid.
        metrics: Records the measured times.
        recheck: Called just before the request is sent; raises an error if the
            request may no longer be run.
        budget: Bounds the bytes that are buffered.
    """

    def __init__(
        self,
        clock: Clock,
        request: CallerRequest,
        writer: AnswerWriter,
        authenticator: Authenticator,
        metrics: GatewayMetrics,
        recheck: Callable[[], None],
        budget: BufferBudget,
    ) -> None:
        self._clock = clock
        self._request = request
        self._writer = writer
        self._authenticator = authenticator
        self._metrics = metrics
        self._recheck = recheck
        self._started_at_s = clock.monotonic_s()
        self._last_data_at_s = self._started_at_s
        self._next_abandoned_check_at_s = self._started_at_s
        is_model = bool(request.prompt_text)
        self._check = AnswerCheck(request.id, needs_request_id=is_model)
        self._body = EventBody(self._check, StreamLimits())
        self._head = StreamHead()
        self._buffer = BodyBuffer(budget)
        self._on_first_data: Callable[[], None] | None = None

    @property
    def bytes_written(self) -> int:
        """The number of bytes of the body that were written to the caller."""
        return self._writer.body_bytes

    @property
    def is_resumable(self) -> bool:
        """Whether the engine can resume the response where it broke off."""
        return self._head.is_event_stream and self._head.can_resume

    @property
    def resume_offset(self) -> int:
        """The number of events with data that were written to the caller."""
        return self._body.position.offset

    def begin(self, on_first_data: Callable[[], None]) -> None:
        """Prepare for the response, or the rest of it, from a new connection."""
        self._buffer.discard()
        self._on_first_data = on_first_data

    def before_send(self) -> None:
        """Check the request again; see `AnswerSink.before_send`."""
        self._recheck()

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check the status and headers; see `AnswerSink.on_head`."""
        head = make_head(status, headers)
        self._check_refusal(head)
        self._check.check_head(head)
        if not 0 <= head.offset <= self.resume_offset:
            raise AnswerTruncatedError(f"the response resumes at {head.offset}")
        self._head = head
        if head.is_event_stream:
            self._body.begin(head)

    def on_data(self, data: bytes) -> None:
        """Relay or buffer a part of the body; see `AnswerSink.on_data`."""
        self._record_times()
        if not self._head.is_event_stream:
            self._append_to_buffer(data)
            return
        new_data = self._body.feed(data)
        if new_data:
            self._write(new_data)
        if self._body.failure is not None:
            raise self._body.failure

    def check(self) -> None:
        """Check the key and the caller's connection; see `AnswerSink.check`."""
        self._authenticator.recheck(self._request.route, self._request.key)
        now_s = self._clock.monotonic_s()
        if now_s < self._next_abandoned_check_at_s:
            return
        self._next_abandoned_check_at_s = now_s + ABANDONED_CHECK_INTERVAL_S
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller disconnected")

    def complete(self) -> None:
        """Finish the response after its last byte.

        Raises:
            AnswerTruncatedError: The stream ended without an end marker.
            OSError: The caller disconnected.
        """
        if self._head.is_event_stream:
            self._complete_stream()
            return
        self._writer.start(
            self._head.status, self._response_headers(), len(self._buffer)
        )
        self._writer.write(self._buffer.data)
        self._writer.finish()

    def discard(self) -> None:
        """Drop what is buffered."""
        self._buffer.discard()

    def write_truncation_event(self, error: OriolepaddleError) -> None:
        """End a stream that the caller already receives with an error event."""
        event = make_truncation_event(error, self._request.id, self.resume_offset)
        try:
            self._writer.write(event)
        except OSError as write_error:
            logger.debug(
                "caller disconnected before the error event was sent: {}", write_error
            )

    def count_output_tokens(self) -> int:
        """Return the number of output tokens.

        A stream counts one token for each event with data. A response without a
        token count counts as the maximum that the request allows, so that it is
        never free of charge.
        """
        if self._head.is_event_stream:
            return self.resume_offset
        if not len(self._buffer):
            return 0
        try:
            return int(json.loads(self._buffer.data)["usage"]["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return self._request.output_tokens

    def _complete_stream(self) -> None:
        remaining_event = self._body.finish()
        if remaining_event:
            self._write(remaining_event)
        if not self._body.is_complete:
            raise AnswerTruncatedError("the stream ended without its end marker")
        self._writer.finish()

    def _check_refusal(self, head: StreamHead) -> None:
        status = head.status
        outcome = dict(_lower_names(head.headers)).get("x-request-outcome")
        if outcome == "not-run" and status in _REFUSAL_STATUSES:
            raise EndpointRefusedError(f"the request was refused with status {status}")
        if status in _RETRYABLE_STATUSES and self._request.is_idempotent:
            raise EndpointFailedError(f"the request failed with status {status}")
        if self._writer.is_started and status != self._head.status:
            raise AnswerMismatchedError(f"the response resumes with status {status}")

    def _record_times(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._on_first_data is not None:
            self._on_first_data()
            self._on_first_data = None
            self._metrics.first_byte_time.observe(now_s - self._started_at_s)
        else:
            self._metrics.token_time.observe(now_s - self._last_data_at_s)
        self._last_data_at_s = now_s

    def _write(self, data: bytes) -> None:
        if not self._writer.is_started:
            self._writer.start(self._head.status, self._response_headers())
        self._writer.write(data)

    def _append_to_buffer(self, data: bytes) -> None:
        if not self._buffer.append(data):
            raise AnswerTruncatedError("no memory is left to buffer the response")
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            raise AnswerTruncatedError(
                f"the response is larger than {MAX_BUFFERED_BYTES} bytes"
            )

    def _response_headers(self) -> list[tuple[str, str]]:
        relayed = [
            (name, value)
            for name, value in self._head.headers
            if name.lower() in _RELAYED_HEADERS
        ]
        return [*relayed, ("X-Request-Id", self._request.id)]


def make_head(status: int, headers: tuple[tuple[str, str], ...]) -> StreamHead:
    """Return a response's `StreamHead`, made from its status and header fields."""
    fields = dict(_lower_names(headers))
    offset = fields.get(RESUME_HEADER.lower(), "")
    return StreamHead(
        status=status,
        headers=headers,
        request_id=fields.get("x-request-id"),
        offset=int(offset) if offset.isdigit() else 0,
        is_event_stream=fields.get("content-type", "").startswith(EVENT_STREAM),
        has_end_marker=True,
        can_resume=RESUME_HEADER.lower() in fields,
    )


def _lower_names(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    return [(name.lower(), value) for name, value in headers]
