"""Handing one try's answer on."""

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
    """An `AnswerSink` for one try.

    Events are passed on as they become whole. Any other body is held until it
    is whole, so that a broken one is never passed on.

    Args:
        writer: Where the answer goes.
        splitter: The position in the stream, shared by all tries.
        read_answer: Decodes the head.
        recheck: Raises if the request may not be sent any more.
        on_first_byte: Called at the first byte of the body.
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
        self._note_data: Callable[[], None] = lambda: None
        self._check_progress: Callable[[], None] = lambda: None
        self._has_begun = False
        self._buffer = bytearray()
        self._is_event_stream = False
        self.answer: EndpointAnswer | None = None
        self.is_sent = False

    def follow(
        self, note_data: Callable[[], None], check_progress: Callable[[], None]
    ) -> None:
        """Have the try's progress followed.

        Args:
            note_data: Called with each part of the body that comes.
            check_progress: Called now and then; raises if the try is to be given
                up for another one.
        """
        self._note_data = note_data
        self._check_progress = check_progress

    def before_send(self) -> None:
        """Check the request again; see `AnswerSink.before_send`."""
        self._recheck()
        self.is_sent = True

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Check the head; see `AnswerSink.on_head`."""
        _check_peer_refusal(status, headers)
        answer = self._read_answer(status, headers)
        self.answer = answer
        if answer.kind is AnswerKind.NOT_RUN:
            raise EndpointRefusedError(f"refused with status {status}")
        if answer.kind is AnswerKind.OTHER_ENDPOINT:
            raise EndpointReplacedError("another endpoint has the address")
        if answer.kind is AnswerKind.FOREIGN:
            raise AnswerMismatchedError(
                f"an answer with status {status} is not this request's"
            )
        self._is_event_stream = answer.is_stream and answer.is_success
        if self._writer.is_started and not self._is_event_stream:
            raise AnswerTruncatedError(f"the stream goes on with status {status}")

    def on_data(self, data: bytes) -> None:
        """Pass on or hold a part of the body; see `AnswerSink.on_data`."""
        self._note_data()
        if not self._has_begun:
            self._has_begun = True
            self._on_first_byte()
        if not self._is_event_stream:
            self._buffer += data
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                raise AnswerTruncatedError("the answer is larger than can be held")
            return
        whole = self._splitter.feed(data)
        if whole:
            self._write(whole)

    def check(self) -> None:
        """Say whether the caller is still there; see `AnswerSink.check`."""
        if self._writer.is_abandoned():
            raise ConnectionResetError("the caller left")
        self._check_progress()

    def complete(self) -> None:
        """End the answer after its last byte.

        Raises:
            AnswerTruncatedError: The stream ended inside an event.
            OSError: The caller is gone.
        """
        if self.answer is None:
            raise EndpointFailedError("there was no answer")
        if self._is_event_stream:
            if not self._splitter.is_between_events:
                raise AnswerTruncatedError("the stream ended inside an event")
            if not self._writer.is_started:
                raise AnswerTruncatedError("the stream has no event")
            self._writer.finish()
            return
        self._writer.start(self.answer.status, self.answer.headers, len(self._buffer))
        self._writer.write(bytes(self._buffer))
        self._writer.finish()

    def _write(self, data: bytes) -> None:
        if not self._writer.is_started and self.answer is not None:
            self._writer.start(self.answer.status, self.answer.headers)
        self._writer.write(data)


def _check_peer_refusal(status: int, headers: tuple[tuple[str, str], ...]) -> None:
    # Only other instances send this field; endpoints' own answers lack it.
    for name, value in headers:
        if name.lower() != _OUTCOME_FIELD:
            continue
        if value == "not-run":
            raise EndpointRefusedError(f"refused by an instance with status {status}")
        raise EndpointFailedError(
            f"failed at an instance with status {status}", outcome=Outcome.UNKNOWN
        )
