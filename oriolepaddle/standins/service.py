"""A stand-in for a plain service that books and reports."""

import threading

from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.web import AnswerWriter, HttpServer

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Counts each body that is posted to it; a second run is seen.

    Attributes:
        runs: How often each body was run.
        cut_before_answer: Whether the connection is cut after a run, so that
            the gateway cannot know whether it ran.
    """

    def __init__(self, name: str, port: int = 0, clock: Clock | None = None) -> None:
        self.name = name
        self.runs: dict[bytes, int] = {}
        self.paths: list[str] = []
        self.headers: list[tuple[tuple[str, str], ...]] = []
        self.cut_before_answer = False
        self.may_answer = threading.Event()
        self.may_answer.set()
        self._lock = threading.Lock()
        self._server = HttpServer(
            "127.0.0.1", port, self, clock or SystemClock(), name=f"service-{name}"
        )
        self.address = f"127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self.may_answer.set()
        self._server.close()

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        body = request.get_data()
        with self._lock:
            self.paths.append(request.full_path)
            self.headers.append(tuple(request.headers.items()))
            if request.method == "POST":
                self.runs[body] = self.runs.get(body, 0) + 1
        self.may_answer.wait()
        if self.cut_before_answer and request.method == "POST":
            raise ConnectionResetError("cut as told")
        headers = [("X-Request-Id", request.headers.get("X-Request-Id", ""))]
        writer.answer_json(200, {"service": self.name, "done": True}, headers)
