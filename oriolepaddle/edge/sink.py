"""Relays the response of one attempt to the caller."""

from collections.abc import Callable

from oriolepaddle.buffers import BodyBuffer, BufferBudget
from oriolepaddle.clock import SystemClock
from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
from oriolepaddle.edge.attempt import Attempt
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointReplacedError,
    Outcome,
)
from oriolepaddle.web import AnswerWriter

__all__ = ["EdgeSink"]

MAX_BODY_BYTES = 8_000_000
"""The largest body that is relayed, other than an event stream."""
MIN_COUNTED_BYTES = 4096
"""Size of an incomplete event from which it counts against the budget."""
_OUTCOME_FIELD = "x-request-outcome"


class EdgeSink:
    """An `AnswerSink` for one attempt.

    Events are relayed as soon as they are complete. Any other body is buffered until
    it is complete, so that a truncated one is never relayed, unless the process has no
    memory left for it. Then it is relayed as it arrives, or the attempt ends.

    Args:
        writer: Writes the response to the caller.
        splitter: The position in the stream, shared by all attempts.
        read_answer: Decodes the status and headers.
        recheck: Raises an error if the request may no longer be sent.
        on_first_byte: Called at the first byte of the body.
        budget: Bounds the bytes that are buffered.
        may_relay_early: Whether a body that can't be buffered may be relayed before it
            is complete, after which the request can't be repeated.
        attempt: Decides whether this attempt may write the response.
        is_peer: Whether the response is that of another instance.

    Attributes:
        answer: The status and headers, or None before they are received.
        is_sent: Whether the request may have reached the endpoint.
        events: Complete events that this attempt has received.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        splitter: EventSplitter,
        read_answer: Callable[[int, tuple[tuple[str, str], ...]], EndpointAnswer],
        recheck: Callable[[], None],
        on_first_byte: Callable[[], None],
        budget: BufferBudget,
        may_relay_early: Callable[[EndpointAnswer], bool] = lambda answer: False,
        attempt: Attempt | None = None,
        is_peer: bool = False,
    ) -> None:
        self._is_peer = is_peer
        self._attempt = attempt or Attempt(SystemClock())
        self._writer = writer
        self._splitter = splitter
        self._read_answer = read_answer
        self._recheck = recheck
        self._on_first_byte = on_first_byte
        self._on_activity: Callable[[], None] = lambda: None
        self._check_progress: Callable[[], None] = lambda: None
        self._on_first_event: Callable[[], None] = lambda: None
        self._has_body_data = False
        self._buffer = BodyBuffer(budget, writer.client)
        self._may_relay_early = may_relay_early
        self._body_bytes = 0
        self._is_relaying = False
        self._is_event_stream = False
        self.answer: EndpointAnswer | None = None
        self.is_sent = False
        self.events = 0

    def set_callbacks(
        self,
        on_activity: Callable[[], None],
        check_progress: Callable[[], None],
        on_first_event: Callable[[], None],
    ) -> None:
        """Set the functions that monitor the progress of the attempt.

        Args:
            on_activity: Called when a part of the body is received.
            check_progress: Called periodically; raises an error if the attempt is
                to be abandoned for another one.
            on_first_event: Called when the first event is complete, or a successful
                body of another kind.
        """
        self._on_activity = on_activity
        self._check_progress = check_progress
        self._on_first_event = on_first_event

    def before_send(self) -> None:
        """Check again that the request may be sent; see `AnswerSink.before_send`."""
        self._recheck()
        self.is_sent = True

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check the status and headers; see `AnswerSink.on_head`."""
        if self._is_peer:
            _check_peer_refusal(status, headers)
        answer = self._read_answer(status, headers)
        self.answer = answer
        if answer.kind is AnswerKind.NOT_RUN:
            raise EndpointRefusedError(
                f"the endpoint refused the request with status {status}"
            )
        if answer.kind is AnswerKind.OTHER_ENDPOINT:
            raise EndpointReplacedError("another endpoint listens on the address")
        if answer.kind is AnswerKind.FOREIGN:
            raise AnswerMismatchedError(
                f"a response with status {status} does not belong to this request"
            )
        self._is_event_stream = answer.is_stream and answer.is_success
        if self._writer.is_started and not self._is_event_stream:
            raise AnswerTruncatedError(
                f"the stream can't be resumed: the response has status {status}"
            )
        if self._attempt.is_pending and not answer.is_success:
            # The first endpoint may still serve the request.
            raise EndpointFailedError(
                f"the alternative endpoint responded with status {status}"
            )
        if not answer.is_server_error:
            self._attempt.claim()
            self._attempt.release()

    def on_data(self, data: bytes) -> None:
        """Relay or buffer a part of the body; see `AnswerSink.on_data`."""
        if self.answer.is_server_error:
            # Another attempt may take over until the failure is relayed.
            self._attempt.check()
            self._take_data(data)
            return
        self._attempt.claim()
        try:
            self._take_data(data)
        finally:
            self._attempt.release()

    def _take_data(self, data: bytes) -> None:
        self._on_activity()
        if not self._has_body_data:
            self._has_body_data = True
            self._on_first_byte()
        if not self._is_event_stream:
            self._take_body(data)
            return
        earlier_events = self._splitter.events
        complete_events = self._splitter.feed(data)
        self._count_partial_event()
        if complete_events and not self.events:
            self._on_first_event()
        self.events += self._splitter.events - earlier_events
        if complete_events:
            self._write(complete_events)

    def check(self) -> None:
        """Check the caller and the attempt's progress; see `AnswerSink.check`."""
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller disconnected")
        self._check_progress()

    def complete(self) -> None:
        """Finish the response after its last byte.

        Raises:
            AnswerTruncatedError: The stream ended inside an event.
            OSError: The caller has disconnected.
        """
        if self.answer is None:
            raise EndpointFailedError("the endpoint sent no response")
        self._attempt.claim()
        if self._is_event_stream:
            if not self._splitter.is_between_events:
                raise AnswerTruncatedError("the stream ended inside an event")
            if not self._writer.is_started:
                raise AnswerTruncatedError("the stream ended without an event")
            self._writer.finish()
            return
        if self.answer.is_success:
            self._on_first_event()
        if not self._is_relaying:
            self._relay_buffer(len(self._buffer))
        self._writer.finish()

    def discard(self) -> None:
        """Drop what is buffered; the response can't be completed any more."""
        self._buffer.discard()

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise AnswerTruncatedError(
                f"the response is larger than {MAX_BODY_BYTES} bytes"
            )
        if not self._is_relaying and self._buffer.append(data):
            return
        if not self._is_relaying:
            if not self._may_relay_early(self.answer):
                raise _make_memory_error()
            self._attempt.claim()
            self._is_relaying = True
            self._relay_buffer(self.answer.length)
        self._writer.write(data)

    def _relay_buffer(self, length: int | None) -> None:
        self._writer.start(self.answer.status, self.answer.headers, length)
        self._writer.write(self._buffer.data)
        self._buffer.discard()

    def _count_partial_event(self) -> None:
        size = self._splitter.partial_bytes
        counted = size if size >= MIN_COUNTED_BYTES else 0
        if not self._buffer.hold(counted):
            raise _make_memory_error()

    def _write(self, data: bytes) -> None:
        if not self._writer.is_started and self.answer is not None:
            self._writer.start(self.answer.status, self.answer.headers)
        self._writer.write(data)


def _make_memory_error() -> AnswerTruncatedError:
    return AnswerTruncatedError("no memory is left to buffer the response")


def _check_peer_refusal(status: int, headers: tuple[tuple[str, str], ...]) -> None:
    for name, value in headers:
        if name.lower() != _OUTCOME_FIELD:
            continue
        if value == "not-run":
            raise EndpointRefusedError(
                f"a peer instance refused the request with status {status}"
            )
        raise EndpointFailedError(
            f"the request failed at a peer instance with status {status}",
            outcome=Outcome.UNKNOWN,
        )
