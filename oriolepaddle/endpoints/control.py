"""Reading the state of engines and commanding them, over HTTP."""

import json
import uuid
from collections.abc import Callable

import attrs

from oriolepaddle.buffers import ShortBody
from oriolepaddle.clock import Clock
from oriolepaddle.commands import EngineCommand, EngineState
from oriolepaddle.config.model import Endpoint
from oriolepaddle.endpoints.request import EndpointRequest
from oriolepaddle.endpoints.transport import EndpointTransport
from oriolepaddle.errors import (
    AnswerMalformedError,
    EndpointFailedError,
    EndpointRefusedError,
)

__all__ = ["HttpEngineControl"]

STATE_PATH = "/engine/state"
COMMAND_PATH = "/engine/command"
CALL_TIMEOUT_S = 5.0
FENCED_STATUS = 409


class HttpEngineControl:
    """An `EngineControl` over HTTP; `docs/publication.md` describes the protocol.

    Args:
        clock: Clock for the deadlines of calls.
        transport: Sends the requests to the engines.
    """

    def __init__(self, clock: Clock, transport: EndpointTransport) -> None:
        self._clock = clock
        self._transport = transport

    def state(self, endpoint: Endpoint) -> EngineState:
        """Return the state that an engine reports; see `EngineControl.state`."""
        sink = _CallSink(lambda: None)
        self._call(endpoint, "GET", STATE_PATH, b"", sink)
        document = sink.parse()
        return EngineState(
            model=str(document.get("model", "")),
            version=str(document.get("version", "")),
            adapters=tuple(document.get("adapters", ())),
            role=str(document.get("role", "mixed")),
            ticket=document.get("ticket"),
            is_loading=bool(document.get("loading", False)),
        )

    def apply(
        self,
        endpoint: Endpoint,
        command: EngineCommand,
        recheck: Callable[[], None],
    ) -> None:
        """Send a command once; see `EngineControl.apply`."""
        sink = _CallSink(recheck)
        body = json.dumps(attrs.asdict(command)).encode()
        self._call(endpoint, "POST", COMMAND_PATH, body, sink)
        sink.parse()

    def _call(
        self, endpoint: Endpoint, method: str, path: str, body: bytes, sink: "_CallSink"
    ) -> None:
        request = EndpointRequest(
            id=uuid.uuid4().hex,
            method=method,
            path=path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            is_idempotent=method == "GET",
            first_byte_timeout_s=CALL_TIMEOUT_S,
            stall_timeout_s=CALL_TIMEOUT_S,
            deadline_s=self._clock.monotonic_s() + CALL_TIMEOUT_S,
        )
        self._transport.run(endpoint.address, request, sink)


class _CallSink:
    """An `AnswerSink` that buffers the answer of a short call."""

    def __init__(self, recheck: Callable[[], None]) -> None:
        self._recheck = recheck
        self._status = 0
        self._body = ShortBody()

    def before_send(self) -> None:
        """Check the command again; see `AnswerSink.before_send`."""
        self._recheck()

    def on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Store the status; see `AnswerSink.on_head`."""
        self._status = status

    def on_data(self, data: bytes) -> None:
        """Append a part of the body; see `AnswerSink.on_data`."""
        self._body.write(data)
        if self._body.is_too_long:
            raise AnswerMalformedError("the engine's answer is too long")

    def check(self) -> None:
        """Never cancel; the timeouts of the call apply."""

    def parse(self) -> dict:
        """Return the JSON object of the answer.

        Raises:
            EndpointRefusedError: The engine accepted a newer ticket.
            EndpointFailedError: The answer is an error or no JSON object.
        """
        if self._status == FENCED_STATUS:
            raise EndpointRefusedError("the engine accepted a newer ticket")
        if self._status != 200:
            raise EndpointFailedError(f"the engine answered with status {self._status}")
        try:
            document = json.loads(self._body.data)
        except ValueError as error:
            raise EndpointFailedError("the engine's answer is not JSON") from error
        if not isinstance(document, dict):
            raise EndpointFailedError("the engine's answer is not a JSON object")
        return document
