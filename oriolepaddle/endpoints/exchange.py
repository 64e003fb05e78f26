"""One attempt of a request on one curl handle."""

import threading
from datetime import timedelta

import pycurl

from oriolepaddle.answers import E_BROKEN_HEAD, AnswerParser
from oriolepaddle.clock import Clock
from oriolepaddle.endpoints.handles import PooledHandle
from oriolepaddle.endpoints.request import EndpointRequest
from oriolepaddle.endpoints.sink import AnswerSink
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    EndpointDeadlineError,
    EndpointFailedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    RefusedError,
)

__all__ = ["CurlExchange"]

SHORTAGE_RETRY_AFTER = timedelta(seconds=1)
_SHORTAGE_ERRORS = (pycurl.E_OUT_OF_MEMORY, pycurl.E_FAILED_INIT)
"""Errors of a handle that gets no descriptors for its own pipes."""
_TRUNCATION_ERRORS = (pycurl.E_PARTIAL_FILE, pycurl.E_RECV_ERROR)
_ABORT_TRANSFER = -1
MIN_SILENCE_S = 1.0
"""Time without a part of an answer after which the received bytes are counted."""
MAX_DISCARDED_BYTES = 1_000_000
STATUS_DIGITS = 3
_UPLOADED_BYTES = getattr(pycurl, "SIZE_UPLOAD_T", pycurl.SIZE_UPLOAD)
"""Older versions of pycurl have only the second one, which is deprecated."""
_FINAL_STATUSES = range(200, 600)


class CurlExchange:
    """Runs one attempt on a prepared handle and classifies its errors.

    Args:
        handle: Handle with all options set.
        clock: Clock for the timeouts.
        request: Request with its timeouts.
        sink: Receives the answer.
    """

    def __init__(
        self,
        handle: PooledHandle,
        clock: Clock,
        request: EndpointRequest,
        sink: AnswerSink,
    ) -> None:
        self._handle = handle
        self._lock = threading.Lock()
        self._is_running = True
        self._clock = clock
        self._request = request
        self._sink = sink
        self._started_s = clock.monotonic_s()
        self._last_byte_s = self._started_s
        self._status = 0
        self._is_delivering = False
        self._received_before: tuple[float, int] | None = None
        self._parser = AnswerParser(request.method)
        self._is_head_delivered = False
        self._is_sent = False
        self._error: Exception | None = None

    def perform(self) -> None:
        """Run the attempt; see `EndpointTransport.run` for its errors."""
        curl = self._handle.curl
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        AnswerParser.prepare(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        try:
            curl.perform()
        except pycurl.error as error:
            raise self._classify_error(error) from error
        finally:
            with self._lock:
                self._is_running = False
        if self._error is None:
            self._parser.check_end()
        self._deliver_head()
        self._check_unframed_body()
        if self._error is not None:
            raise self._error

    def inspect(self) -> None:
        """Abort the attempt if it timed out or the sink cancels it."""
        try:
            self._check_timeouts()
            self._sink.check()
        except (OSError, OriolepaddleError) as error:
            self.cancel(error)

    @property
    def is_sent(self) -> bool:
        """Whether the request may have reached the endpoint."""
        return self._is_sent

    def cancel(self, error: Exception) -> None:
        """Make the attempt fail with an error, unless it has ended."""
        # The lock prevents this attempt from ending and releasing its connection
        # meanwhile; the next attempt on that connection would be interrupted.
        with self._lock:
            if not self._is_running:
                return
            self._error = self._error or error
            self._handle.interrupt()

    def _on_connected(self, *addresses: object) -> int:
        if self._is_sent:
            # curl resends a request on its own if a reused connection breaks
            # before the first byte of the answer. Whether to retry is decided
            # outside the transport, so the second send is aborted.
            self._error = EndpointFailedError(
                "the connection broke before the first byte of the answer"
            )
            return pycurl.PREREQFUNC_ABORT
        if self._error is not None:
            # The attempt was cancelled while its connection was established.
            return pycurl.PREREQFUNC_ABORT
        try:
            self._check_timeouts()
            self._sink.before_send()
        except (OSError, OriolepaddleError) as error:
            self._error = error
            return pycurl.PREREQFUNC_ABORT
        self._is_sent = True
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> int:
        self._last_byte_s = self._clock.monotonic_s()
        if self._parser.head.is_at_start:
            self._status = _parse_status(line.decode("latin-1"))
        try:
            self._parser.feed_line(line)
        except AnswerMalformedError as error:
            self._error = error
            return _ABORT_TRANSFER
        if self._parser.head.is_complete:
            self._read_keep_alive_timeout()
        return len(line)

    def _read_keep_alive_timeout(self) -> None:
        for name, value in self._parser.head.fields:
            if name.lower() == "keep-alive":
                self._handle.keep_alive_timeout_s = _parse_keep_alive_timeout(value)

    def _deliver_head(self) -> None:
        if self._is_head_delivered or self._error is not None:
            return
        self._is_head_delivered = True
        if self._status not in _FINAL_STATUSES:
            self._error = AnswerMalformedError(
                f"the answer's status {self._status} is none of a final response",
                outcome=Outcome.UNKNOWN,
            )
            return
        try:
            self._sink.on_head(self._status, self._parser.head.fields)
        except (OSError, OriolepaddleError) as error:
            self._error = error

    def _check_unframed_body(self) -> None:
        """Reject a body that ends with its connection before the request was sent.

        An endpoint may respond before it has read a long request. If it then ends the
        connection, the end may be that of the body or that of a failure.
        """
        body_bytes = len(self._request.body)
        if self._error is not None or not body_bytes:
            return
        if not self._parser.ends_with_connection:
            return
        sent_bytes = self._handle.curl.getinfo(_UPLOADED_BYTES)
        if sent_bytes < body_bytes or not self._handle.has_delivered():
            self._error = AnswerTruncatedError(
                "the connection ended before the request was sent whole, and the "
                "answer declares no length"
            )

    def _on_data(self, data: bytes) -> int:
        try:
            content = self._parser.decode(data)
        except AnswerMalformedError as error:
            self._error = error
            return _ABORT_TRANSFER
        if content:
            self._last_byte_s = self._clock.monotonic_s()
            self._is_delivering = True
            self._deliver_content(content)
            self._is_delivering = False
        return len(data) if self._error is None else _ABORT_TRANSFER

    def _deliver_content(self, content: bytes) -> None:
        self._deliver_head()
        if self._error is not None:
            return
        try:
            self._sink.on_data(content)
        except (OSError, OriolepaddleError) as error:
            self._error = error

    def _check_timeouts(self) -> None:
        now_s = self._clock.monotonic_s()
        request = self._request
        outcome = Outcome.UNKNOWN if self._is_sent else Outcome.NOT_RUN
        if now_s >= request.deadline_s:
            raise EndpointDeadlineError(
                "the request's deadline passed", outcome=outcome
            )
        silent_s = now_s - self._last_byte_s
        if not self._status and silent_s > request.first_byte_timeout_s:
            raise EndpointTimeoutError(
                f"no first byte of the answer within {silent_s:.1f} s", outcome=outcome
            )
        if self._status and silent_s > request.stall_timeout_s:
            raise EndpointTimeoutError(f"the answer stalled for {silent_s:.1f} s")
        # While a slow caller takes a part, the next ones wait in the kernel.
        if silent_s > MIN_SILENCE_S and not self._is_delivering:
            self._check_discarded_bytes()

    def _check_discarded_bytes(self) -> None:
        """End an answer whose bytes libcurl discards, such as an extension of a chunk.

        Raises:
            AnswerMalformedError: Many bytes were received, but no part of an answer.
        """
        received_bytes = self._handle.count_received_bytes()
        if received_bytes is None:
            return
        last_byte_s, before_bytes = self._received_before or (None, 0)
        if last_byte_s != self._last_byte_s:
            self._received_before = (self._last_byte_s, received_bytes)
        elif received_bytes - before_bytes > MAX_DISCARDED_BYTES:
            raise AnswerMalformedError(
                f"{received_bytes - before_bytes} bytes are no part of an answer",
                outcome=Outcome.UNKNOWN,
            )

    def _classify_error(self, error: pycurl.error) -> Exception:
        number, text = error.args
        if self._error is not None:
            return self._error
        if not self._is_sent:
            if self._handle.has_no_descriptor or number in _SHORTAGE_ERRORS:
                # The endpoint may be sound, and others would fail as well.
                return RefusedError(
                    f"no descriptor is free for a connection: {text}",
                    code=ErrorCode.OVERLOADED,
                    retry_after=SHORTAGE_RETRY_AFTER,
                )
            return EndpointUnreachableError(f"connection failed: {text}")
        if number == pycurl.E_OPERATION_TIMEDOUT:
            return EndpointDeadlineError(text)
        if number in _TRUNCATION_ERRORS and self._status:
            return AnswerTruncatedError(text)
        if number == E_BROKEN_HEAD:
            return AnswerMalformedError(text, outcome=Outcome.UNKNOWN)
        return EndpointFailedError(text)


def _parse_status(line: str) -> int:
    """Return the status of a status line, 0 if it has none."""
    text = (line.split() + [""])[1]
    is_status = len(text) == STATUS_DIGITS and text.isascii() and text.isdigit()
    return int(text) if is_status else 0


def _parse_keep_alive_timeout(value: str) -> float | None:
    for item in value.split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and seconds.strip().isdecimal():
            return float(seconds)
    return None
