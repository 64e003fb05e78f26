"""A stand-in for a model engine, with faults that can be switched on."""

import json
import threading
import time
from collections import deque
from typing import Any

import attrs
from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.standins.engine_control import EngineControlStandin
from oriolepaddle.standins.prefix_cache import PrefixCacheStandin
from oriolepaddle.web import AnswerWriter, HttpServer, ServerLimits

__all__ = ["EngineFaults", "EngineStandin", "ReceivedRequest"]

MAX_RECORDED_REQUESTS = 10_000


@attrs.define
class EngineFaults:
    """Switches for the faults of an engine.

    Attributes:
        refuse: Refuse each request with the outcome "not-run".
        cut_after_tokens: Number of tokens after which the connection is closed,
            or None.
        silent_after_tokens: Number of tokens after which nothing more is sent,
            or None.
        wrong_request_id: Answer with another request's id.
        crash_on: Crash on each request that contains this text, or None.
    """

    refuse: bool = False
    cut_after_tokens: int | None = None
    silent_after_tokens: int | None = None
    wrong_request_id: bool = False
    crash_on: str | None = None


@attrs.frozen
class ReceivedRequest:
    """A request as the engine received it.

    Attributes:
        id: The request id that the gateway sent.
        headers: All header fields, in order.
        path: The path with the query string.
        body: The body.
    """

    id: str
    headers: tuple[tuple[str, str], ...]
    path: str
    body: bytes


class EngineStandin:
    """Answers completions with numbered tokens, streamed or in one response.

    Args:
        name: The endpoint's name, included in each answer.
        port: The port to listen on, or 0 for any free one.
        clock: The clock of its server.
        token_interval_s: The time between two tokens.
        prefill_s: The time before the first token.
    """

    def __init__(
        self,
        name: str,
        port: int = 0,
        clock: Clock | None = None,
        token_interval_s: float = 0.0,
        prefill_s: float = 0.0,
    ) -> None:
        self.name = name
        self._clock = clock or SystemClock()
        self.faults = EngineFaults()
        self.token_interval_s = token_interval_s
        self.prefill_s = prefill_s
        self.received: deque[ReceivedRequest] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.running = 0
        self.crashes = 0
        self.resumed_streams = 0
        self.control = EngineControlStandin()
        self.cache = PrefixCacheStandin(self._clock, epoch=0)
        self.cached_blocks = 0
        self.cancelled_requests = 0
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._server = HttpServer(
            "127.0.0.1",
            port,
            self,
            self._clock,
            ServerLimits(max_connections=2048),
            name=f"engine-{name}",
        )
        self.address = f"127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop serving and end all streams."""
        self._closing.set()
        self._server.close()

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if request.path == "/load":
            writer.answer_json(200, self._describe_load())
            return
        if request.path == "/cache/events":
            after = request.args.get("after", 0, int)
            writer.answer_json(200, self.cache.describe(after))
            return
        if request.path.startswith("/engine/"):
            self.control.handle(request, writer)
            return
        if self.faults.refuse:
            self._refuse(writer)
            return
        self._record_request(request)
        self._crash_if_triggered(request)
        document = json.loads(request.get_data())
        self.cached_blocks += self.cache.use(_read_prompt(document))
        with self._lock:
            self.running += 1
        try:
            self._answer_completion(request, document, writer)
        except OSError:
            self.cancelled_requests += 1
            raise
        finally:
            with self._lock:
                self.running -= 1

    def crash(self) -> None:
        """Drop all connections and start a new incarnation, without model or cache."""
        self.crashes += 1
        self._server.drop_connections()
        self.control = EngineControlStandin(self.control.is_fenced)
        self.cache = PrefixCacheStandin(self._clock, epoch=self.crashes)

    def _describe_load(self) -> dict[str, Any]:
        return {
            "running": self.running,
            "queued": 0,
            "incarnation": f"{self.name}-{self.crashes}",
        }

    def _refuse(self, writer: AnswerWriter) -> None:
        error = RefusedError("the engine is full", code=ErrorCode.OVERLOADED)
        headers = [("X-Request-Outcome", "not-run")]
        writer.answer_json(503, {"error": error.message}, headers)

    def _record_request(self, request: Request) -> None:
        self.received.append(
            ReceivedRequest(
                id=request.headers.get("X-Request-Id", ""),
                headers=tuple(request.headers.items()),
                path=request.full_path,
                body=request.get_data(),
            )
        )

    def _crash_if_triggered(self, request: Request) -> None:
        text = self.faults.crash_on
        if text is not None and text.encode() in request.get_data():
            self.crash()
            raise ConnectionResetError("the engine crashed")

    def _answer_completion(
        self, request: Request, document: dict[str, Any], writer: AnswerWriter
    ) -> None:
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.wrong_request_id:
            request_id = "another-request"
        token_count = int(document.get("max_tokens", 16))
        self._closing.wait(self.prefill_s)
        if document.get("stream"):
            self._stream(request, request_id, token_count, writer)
        else:
            self._send_response(request_id, token_count, writer)

    def _send_response(
        self, request_id: str, token_count: int, writer: AnswerWriter
    ) -> None:
        time.sleep(token_count * self.token_interval_s)
        text = " ".join(str(number) for number in range(token_count))
        document = {
            "id": request_id,
            "endpoint": self.name,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": token_count},
        }
        cut_after_tokens = self.faults.cut_after_tokens
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
        writer.start(200, headers, len(body))
        if cut_after_tokens is not None:
            writer.write(body[: len(body) // 2])
            raise ConnectionResetError("connection cut by a simulated fault")
        writer.write(body)
        writer.finish()

    def _stream(
        self, request: Request, request_id: str, token_count: int, writer: AnswerWriter
    ) -> None:
        first_token = request.headers.get("X-Resume-Offset", 0, int)
        self.resumed_streams += first_token > 0
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Request-Id", request_id),
            ("X-Resume-Offset", str(first_token)),
        ]
        writer.start(200, headers)
        for number in range(first_token, token_count):
            self._apply_stream_faults(number)
            writer.write(self._make_event(request_id, number))
            if self._closing.wait(self.token_interval_s):
                raise ConnectionResetError("the engine is closing")
        writer.write(b"data: [DONE]\n\n")
        writer.finish()

    def _apply_stream_faults(self, number: int) -> None:
        if number == self.faults.cut_after_tokens:
            raise ConnectionResetError("connection cut by a simulated fault")
        if number == self.faults.silent_after_tokens:
            self._closing.wait()

    def _make_event(self, request_id: str, number: int) -> bytes:
        document = {
            "id": request_id,
            "endpoint": self.name,
            "sent_s": self._clock.monotonic_s(),
            "choices": [{"index": 0, "delta": {"content": f"{number} "}}],
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"


def _read_prompt(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    if messages is None:
        return str(document.get("prompt", ""))
    return "\n".join(f"{item['role']}: {item['content']}" for item in messages)
