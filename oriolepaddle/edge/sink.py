"""Relays the response of one attempt to the caller."""

from collections.abc import Callable

from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
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

MAX_BUFFERED_BYTES = 8_000_000
_OUTCOME_FIELD = "x-request-outcome"


class EdgeSink:
    """An `AnswerSink` for one attempt.

    Events are relayed as soon as they are complete. Any other body is buffered until
    it is complete, so that a truncated one is never relayed.

    Args:
        writer: Writes the response to the caller.
        splitter: The position in the stream, shared by all attempts.
        read_answer: Decodes the status and headers.
        recheck: Raises an error if the request may no longer be sent.
        on_first_byte: Called at the first byte of the body.

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
    ) -> None:
        self._writer = writer
        self._splitter = splitter
        self._read_answer = read_answer
        self._recheck = recheck
        self._on_first_byte = on_first_byte
        self._on_activity: Callable[[], None] = lambda: None
        self._check_progress: Callable[[], None] = lambda: None
        self._on_first_event: Callable[[], None] = lambda: None
        self._has_body_data = False
        self._buffer = bytearray()
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

    def on_data(self, data: bytes) -> None:
        """Relay or buffer a part of the body; see `AnswerSink.on_data`."""
        self._on_activity()
        if not self._has_body_data:
            self._has_body_data = True
            self._on_first_byte()
        if not self._is_event_stream:
            self._buffer += data
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                raise AnswerTruncatedError("the response is too large to be buffered")
            return
        earlier_events = self._splitter.events
        complete_events = self._splitter.feed(data)
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
        if self._is_event_stream:
            if not self._splitter.is_between_events:
                raise AnswerTruncatedError("the stream ended inside an event")
            if not self._writer.is_started:
                raise AnswerTruncatedError("the stream ended without an event")
            self._writer.finish()
            return
        if self.answer.is_success:
            self._on_first_event()
        self._writer.start(self.answer.status, self.answer.headers, len(self._buffer))
        self._writer.write(bytes(self._buffer))
        self._writer.finish()

    def _write(self, data: bytes) -> None:
        if not self._writer.is_started and self.answer is not None:
            self._writer.start(self.answer.status, self.answer.headers)
        self._writer.write(data)


def _check_peer_refusal(status: int, headers: tuple[tuple[str, str], ...]) -> None:
    # Only other instances send this header field, never endpoints.
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
