"""Handing an endpoint's answer to the caller."""

import json
from collections.abc import Callable

from loguru import logger

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
_REFUSED_STATUSES = (429, 503)
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

    An event stream is passed on as it arrives, over several connections if it
    is resumed. Any other answer is held until it is whole, so that a failed
    try can be repeated unseen by the caller.

    Args:
        clock: Tells the time between tokens.
        request: The request that is answered.
        writer: Where the answer goes.
        authenticator: Tells whether the key is still valid.
        metrics: Measures the answer.
        recheck: Called just before the request is sent; it raises if the
            request may not be run any more.
    """

    def __init__(
        self,
        clock: Clock,
        request: CallerRequest,
        writer: AnswerWriter,
        authenticator: Authenticator,
        metrics: GatewayMetrics,
        recheck: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._request = request
        self._writer = writer
        self._authenticator = authenticator
        self._metrics = metrics
        self._recheck = recheck
        self._started_s = clock.monotonic_s()
        self._last_data_s = self._started_s
        self._next_abandoned_check_s = self._started_s
        is_model = bool(request.prompt_text)
        self._check = AnswerCheck(request.id, needs_request_id=is_model)
        self._body = EventBody(self._check, StreamLimits())
        self._head = StreamHead()
        self._buffer = bytearray()
        self._on_first_data: Callable[[], None] | None = None

    @property
    def bytes_written(self) -> int:
        """Bytes of the body that went to the caller."""
        return self._writer.body_bytes

    @property
    def is_resumable(self) -> bool:
        """Whether the engine can go on where the answer broke off."""
        return self._head.is_event_stream and self._head.can_resume

    @property
    def resume_offset(self) -> int:
        """The events with data that the caller was sent."""
        return self._body.position.offset

    def begin(self, on_first_data: Callable[[], None]) -> None:
        """Prepare for the next connection's part of the answer."""
        self._buffer.clear()
        self._on_first_data = on_first_data

    def before_send(self) -> None:
        """Check the request again; see `AnswerSink.before_send`."""
        self._recheck()

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check the answer's head; see `AnswerSink.on_head`."""
        head = make_head(status, headers)
        self._check_refusal(head)
        self._check.check_head(head)
        if not 0 <= head.offset <= self.resume_offset:
            raise AnswerTruncatedError(f"the answer goes on at {head.offset}")
        self._head = head
        if head.is_event_stream:
            self._body.begin(head)

    def on_data(self, data: bytes) -> None:
        """Pass on or hold a part of the answer; see `AnswerSink.on_data`."""
        self._measure()
        if not self._head.is_event_stream:
            self._hold(data)
            return
        fresh = self._body.feed(data)
        if fresh:
            self._write(fresh)
        if self._body.failure is not None:
            raise self._body.failure

    def check(self) -> None:
        """Say whether to go on; see `AnswerSink.check`."""
        self._authenticator.recheck(self._request.key)
        now_s = self._clock.monotonic_s()
        if now_s < self._next_abandoned_check_s:
            return
        self._next_abandoned_check_s = now_s + ABANDONED_CHECK_INTERVAL_S
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller left")

    def complete(self) -> None:
        """End the answer.

        Raises:
            AnswerTruncatedError: The stream has no end mark.
            OSError: The caller is gone.
        """
        if self._head.is_event_stream:
            self._complete_stream()
            return
        self._writer.start(self._head.status, self._answer_headers(), len(self._buffer))
        self._writer.write(bytes(self._buffer))
        self._writer.finish()

    def cut(self, error: OriolepaddleError) -> None:
        """Tell the caller of a begun stream that it is cut short."""
        event = make_truncation_event(error, self._request.id, self.resume_offset)
        try:
            self._writer.write(event)
        except OSError as write_error:
            logger.debug("caller left before the error: {}", write_error)

    def count_output_tokens(self) -> int:
        """Return the tokens of the answer.

        A stream counts one for each event. A whole answer that does not tell
        its tokens counts as all that it was allowed, never as free.
        """
        if self._head.is_event_stream:
            return self.resume_offset
        if not self._buffer:
            return 0
        try:
            return int(json.loads(self._buffer)["usage"]["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return self._request.output_tokens

    def _complete_stream(self) -> None:
        held_back = self._body.finish()
        if held_back:
            self._write(held_back)
        if not self._body.is_complete:
            raise AnswerTruncatedError("the stream ended without its end mark")
        self._writer.finish()

    def _check_refusal(self, head: StreamHead) -> None:
        status = head.status
        outcome = dict(_lower(head.headers)).get("x-request-outcome")
        if outcome == "not-run" and status in _REFUSED_STATUSES:
            raise EndpointRefusedError(f"refused with status {status}")
        if status in _REPEATED_STATUSES and self._request.is_idempotent:
            raise EndpointFailedError(f"answered with status {status}")
        if self._writer.is_started and status != self._head.status:
            raise AnswerMismatchedError(f"the answer goes on with status {status}")

    def _measure(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._on_first_data is not None:
            self._on_first_data()
            self._on_first_data = None
            self._metrics.first_byte_time.observe(now_s - self._started_s)
        else:
            self._metrics.token_time.observe(now_s - self._last_data_s)
        self._last_data_s = now_s

    def _write(self, data: bytes) -> None:
        if not self._writer.is_started:
            self._writer.start(self._head.status, self._answer_headers())
        self._writer.write(data)

    def _hold(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            raise AnswerTruncatedError(
                f"the answer is larger than {MAX_BUFFERED_BYTES} bytes"
            )

    def _answer_headers(self) -> list[tuple[str, str]]:
        passed = [
            (name, value)
            for name, value in self._head.headers
            if name.lower() in _PASSED_HEADERS
        ]
        return [*passed, ("X-Request-Id", self._request.id)]


def make_head(status: int, headers: tuple[tuple[str, str], ...]) -> StreamHead:
    """Return an answer's head from its HTTP status and header fields."""
    fields = dict(_lower(headers))
    offset = fields.get(RESUME_HEADER.lower(), "")
    return StreamHead(
        status=status,
        headers=headers,
        request_id=fields.get("x-request-id"),
        offset=int(offset) if offset.isdigit() else 0,
        is_event_stream=fields.get("content-type", "").startswith(EVENT_STREAM),
        is_framed=True,
        can_resume=RESUME_HEADER.lower() in fields,
    )


def _lower(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    return [(name.lower(), value) for name, value in headers]
