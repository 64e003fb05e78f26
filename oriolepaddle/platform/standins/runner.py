"""A stand-in for a runner with a configurable behaviour for each request."""

import enum
import json
import os
import socket
import threading
from collections import deque
from collections.abc import Callable

import attrs
from werkzeug.wrappers import Request

from oriolepaddle.clock import SystemClock
from oriolepaddle.platform import names
from oriolepaddle.web import AnswerWriter, HttpServer, ServerLimits

__all__ = [
    "CrashManner",
    "CrashStage",
    "ReceivedRequest",
    "RunnerBehaviour",
    "RunnerStandin",
]

SEAL_VALUE = "3e1b.07"
SILENCE_S = 5.0
EVENT_LEAD_S = 0.05
CRASH_PAUSE_S = 0.4
LISTENER_LAG_S = 0.03
"""Time between the close of the connections and that of the listener."""
STALL_S = 30.0
"""Longer than callers of streams wait for the next event."""
HOLD_CHECK_S = 0.02
MAX_BODY_BYTES = 16_000_000
ENDLESS_PIECE = b"x" * 8192
ENDLESS_PAUSE_S = 0.001


class RunnerBehaviour(enum.StrEnum):
    """How a runner responds to a request."""

    ANSWER = "answer"
    SHED = "shed"
    ERROR = "error"
    RESET = "reset"
    FOREIGN = "foreign"
    UNSEALED = "unsealed"
    CUT_BODY = "cut body"
    CUT_EVENT = "cut event"
    SILENT = "silent"
    STALLED = "stalled"
    HELD = "held"
    ENDLESS = "endless"


class CrashStage(enum.StrEnum):
    """How far a response comes before the runner crashes."""

    BEFORE_ANSWER = "before the answer"
    AFTER_HEAD = "after the head"
    AFTER_EVENT = "after an event"
    IN_BODY = "in the body"


class CrashManner(enum.StrEnum):
    """What callers see of the runner's process when it ends.

    The kernel closes the descriptors of a process one after the other, a supervisor
    may hold its listener, and a machine that loses power closes nothing.
    """

    LISTENER_FIRST = "listener first"
    CONNECTIONS_FIRST = "connections first, after a pause"
    LISTENER_KEPT = "listener kept"
    BACK_AT_ONCE = "back at once"
    SILENT = "silent"


@attrs.frozen
class ReceivedRequest:
    """A request as the runner received it.

    Attributes:
        method: The HTTP method.
        target: The path and query.
        headers: Header fields by lower-case name.
        body: The body.
        act: The behaviour that the runner applied to it.
        received_s: Monotonic time at which it was received.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    act: RunnerBehaviour
    received_s: float = 0.0

    @property
    def has_run(self) -> bool:
        """Whether the runner started to run it."""
        return self.act is not RunnerBehaviour.SHED


class RunnerStandin:
    """Responds with an event stream or a body, unless `behaviours` differ.

    Attributes:
        behaviours: Behaviours for the next requests; `ANSWER` when it is empty.
        received: The requests that were read.
        events: The number of events in a stream; 0 for a plain body.
        error_status: The status of its failures.
        error_fields: Header fields that its failures have in addition.
        answer_bytes: The size of a plain body, 0 for one that repeats the request's; or
            the bytes that are added to a stream, divided among its events.
        pause_s: Seconds before each event, or before a plain response.
        resumed: Ends the pause of held responses: streams pause after the second event
            that they send, other responses before their head.
        abandoned_count: Requests whose caller disconnected before the end.
        advertised_address: The address to register, if not the one listened on.
        deadly_part: The part of a prompt that crashes the runner when it begins to
            answer, unless it is the last one; empty for none.
        deadly_body: The body of the requests that crash the runner; None for none.
        crash_stage: How far its response to such a request comes.
        crash_manner: What callers see when the runner crashes.
        on_crash: Called with the runner when it crashes.
        has_crashed: Whether the runner has crashed.
        limit: The requests a second that it names as its limit, as text; None for none.
        born_ms: Unix time of the start that it registers, in milliseconds.
        pace: The pace in its load header, as text; None for none.
        retry_after: The seconds of `Retry-After` in refusals, as text; None for none.
        tells_leaving: Whether it says in its answers that it leaves.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        events: int = 0,
        host: str = "127.0.0.1",
    ) -> None:
        self.id = runner_id
        self.behaviours: deque[RunnerBehaviour] = deque()
        self.received: list[ReceivedRequest] = []
        self.events = events
        self.error_status = 500
        self.error_fields: list[tuple[str, str]] = []
        self.answer_bytes = 0
        self.pause_s = 0.0
        self.resumed = threading.Event()
        self.abandoned_count = 0
        self.state = "ready"
        self.cold_ms = 0
        self.advertised_address = ""
        self.deadly_part = ""
        self.deadly_body: bytes | None = None
        self.crash_stage = CrashStage.BEFORE_ANSWER
        self.crash_manner = CrashManner.LISTENER_FIRST
        self.on_crash: Callable[[RunnerStandin], None] = lambda runner: None
        self.has_crashed = False
        self._crash_lock = threading.Lock()
        self._is_running = True
        self._held_listener: socket.socket | None = None
        self.limit: str | None = None
        self.pace: str | None = None
        self.born_ms = 1_788_000_000_000
        self.retry_after: str | None = None
        self.tells_leaving = False
        self._clock = SystemClock()
        self._stopping = threading.Event()
        self._service = service
        self._zone = zone
        self._sequence = 0
        limits = ServerLimits(max_body_bytes=MAX_BODY_BYTES)
        self._server = HttpServer(host, 0, self, self._clock, limits, name=runner_id)
        self.address = f"{host}:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Close all connections and stop serving."""
        self._stopping.set()
        self.resumed.set()
        self._server.drop_connections()
        self._server.close()
        if self._held_listener is not None:
            self._held_listener.close()

    def crash(self) -> None:
        """End as the process of a runner does, in the way that `crash_manner` names."""
        with self._crash_lock:
            if not self._is_running:
                return
            self._is_running = self.crash_manner is CrashManner.BACK_AT_ONCE
            self.has_crashed = True
        if self.crash_manner is CrashManner.SILENT:
            self.on_crash(self)
        elif self.crash_manner is CrashManner.BACK_AT_ONCE:
            self.on_crash(self)
            self._server.drop_connections()
        elif self.crash_manner is CrashManner.CONNECTIONS_FIRST:
            self._stopping.wait(CRASH_PAUSE_S)
            self._server.drop_connections()
            self._stopping.wait(LISTENER_LAG_S)
            self._server.stop_accepting()
            self.on_crash(self)
        else:
            if self.crash_manner is CrashManner.LISTENER_KEPT:
                self._held_listener = socket.socket(
                    fileno=os.dup(self._server.fileno())
                )
            self._server.stop_accepting()
            self._server.drop_connections()
            self.on_crash(self)

    def describe(self) -> bytes:
        """Return the entry that it registers in the store."""
        self._sequence += 1
        fields = {
            "service": self._service,
            "address": self.advertised_address or self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": self.cold_ms,
            "seq": self._sequence,
            "born": self.born_ms,
        }
        return json.dumps(fields).encode()

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        behaviour = (
            self.behaviours.popleft() if self.behaviours else RunnerBehaviour.ANSWER
        )
        self._stop_if_crashed()
        headers = {name.lower(): value for name, value in request.headers.items()}
        expected = headers.get(names.EXPECT_INSTANCE.lower())
        if expected is not None and expected != self.id:
            writer.answer(421, b"", "text/plain", [(names.INSTANCE, self.id)])
            return
        body = request.get_data()
        target = request.environ["RAW_URI"]
        self.received.append(
            ReceivedRequest(
                request.method,
                target,
                headers,
                body,
                behaviour,
                self._clock.monotonic_s(),
            )
        )
        if behaviour is RunnerBehaviour.SILENT:
            threading.Event().wait(SILENCE_S)
        if behaviour in (RunnerBehaviour.RESET, RunnerBehaviour.SILENT):
            raise ConnectionResetError("the runner closes the connection")
        if behaviour is RunnerBehaviour.SHED:
            fields = [(names.NOT_RUN, "1"), *self._describe_itself()]
            if self.retry_after is not None:
                fields.append((names.RETRY_AFTER, self.retry_after))
            writer.answer(503, b"", "text/plain", fields)
            return
        if self._is_deadly(headers.get(names.PROMPT_PREFIX.lower(), "")):
            writer.start(200, [("Content-Type", "text/event-stream")])
            self.crash()
            self._stop_if_crashed()
            raise ConnectionResetError("the runner crashes")
        if body == self.deadly_body and behaviour is RunnerBehaviour.ANSWER:
            self._crash_during(writer, headers)
        try:
            self._answer(request, writer, behaviour)
        except OSError:
            self.abandoned_count += 1
            raise

    def _stop_if_crashed(self) -> None:
        """Do nothing more for a request once the runner has ended.

        Raises:
            ConnectionResetError: The runner has ended.
        """
        if self._is_running:
            return
        if self.crash_manner in (CrashManner.SILENT, CrashManner.CONNECTIONS_FIRST):
            self._stopping.wait(STALL_S)
        raise ConnectionResetError("the runner has ended")

    def _describe_itself(self) -> list[tuple[str, str]]:
        fields = [] if self.limit is None else [(names.LIMIT, self.limit)]
        return fields + ([(names.LEAVING, "1")] if self.tells_leaving else [])

    def _crash_during(self, writer: AnswerWriter, headers: dict[str, str]) -> None:
        stage = self.crash_stage
        fields = [
            (names.REQUEST_ID, headers.get(names.REQUEST_ID.lower(), "")),
            (names.SEAL, f"{SEAL_VALUE}.{self.id}"),
        ]
        if stage is CrashStage.IN_BODY:
            writer.start(200, [("Content-Type", "text/plain"), *fields], 100)
            writer.write(b"half")
        elif stage is not CrashStage.BEFORE_ANSWER:
            writer.start(200, [("Content-Type", "text/event-stream"), *fields])
        if stage is CrashStage.AFTER_EVENT:
            writer.write(b"id: 1\ndata: piece 1\n\n")
            # The event is read before the connection breaks.
            threading.Event().wait(EVENT_LEAD_S)
        self.crash()
        raise ConnectionResetError("the runner crashes")

    def _is_deadly(self, prefix: str) -> bool:
        shared_parts = [item.partition(":")[0] for item in prefix.split(",")[:-1]]
        return self.deadly_part in shared_parts

    def _answer(
        self, request: Request, writer: AnswerWriter, behaviour: RunnerBehaviour
    ) -> None:
        request_id = request.headers.get(names.REQUEST_ID, "")
        if behaviour is RunnerBehaviour.FOREIGN:
            request_id = "another"
        load = "1,0,6" if self.pace is None else f"1,0,6,{self.pace}"
        fields = [(names.REQUEST_ID, request_id), (names.LOAD, load)]
        fields += self._describe_itself()
        if behaviour is not RunnerBehaviour.UNSEALED:
            fields.append((names.SEAL, f"{SEAL_VALUE}.{self.id}"))
        if behaviour is RunnerBehaviour.ERROR:
            fields += self.error_fields
            writer.answer(self.error_status, b"failed", "text/plain", fields)
        elif behaviour is RunnerBehaviour.ENDLESS:
            self._answer_without_end(writer, fields)
        elif self.events:
            self._stream(request, writer, behaviour, fields)
        else:
            if behaviour is RunnerBehaviour.HELD:
                self._hold(writer)
            self._pause(writer)
            body = b"x" * self.answer_bytes or b"done " + request.get_data()
            writer.answer(200, body, "text/plain", fields)

    def _answer_without_end(
        self, writer: AnswerWriter, fields: list[tuple[str, str]]
    ) -> None:
        writer.start(200, [("Content-Type", "text/plain"), *fields])
        while not self._stopping.wait(ENDLESS_PAUSE_S):
            writer.write(ENDLESS_PIECE)

    def _stream(
        self,
        request: Request,
        writer: AnswerWriter,
        behaviour: RunnerBehaviour,
        fields: list[tuple[str, str]],
    ) -> None:
        first = int(request.headers.get(names.LAST_EVENT_ID, 0)) + 1
        writer.start(200, [("Content-Type", "text/event-stream"), *fields])
        if behaviour is RunnerBehaviour.CUT_BODY:
            raise ConnectionResetError("the runner closes the connection")
        for number in range(first, self.events + 1):
            self._pause(writer)
            padding = b"x" * (self.answer_bytes // self.events)
            event = b"id: %d\ndata: piece %d%b\n\n" % (number, number, padding)
            if behaviour is RunnerBehaviour.CUT_EVENT and number == first + 2:
                writer.write(event[:7])
                raise ConnectionResetError("the runner closes the connection")
            writer.write(event)
            if behaviour is RunnerBehaviour.STALLED and number == first + 1:
                self._stopping.wait(STALL_S)
                raise ConnectionResetError("the runner closes the connection")
            if behaviour is RunnerBehaviour.HELD and number == first + 1:
                self._hold(writer)
        writer.finish()

    def _hold(self, writer: AnswerWriter) -> None:
        while not self.resumed.wait(HOLD_CHECK_S):
            if writer.is_abandoned():
                raise ConnectionResetError("the caller disconnected")

    def _pause(self, writer: AnswerWriter) -> None:
        if self.pause_s:
            threading.Event().wait(self.pause_s)
        self._stop_if_crashed()
        if writer.is_abandoned():
            raise ConnectionResetError("the caller disconnected")
