"""A stand-in for a plain service that runs orders."""

import threading

from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.web import AnswerWriter, HttpServer

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Counts how often each posted body is run, so that tests detect a second run.

    Attributes:
        runs: The number of runs by body.
        cut_before_answer: Whether the connection is cut after a run, so that
            the outcome is unknown to the gateway.
        may_answer: An event that is set while answers are sent; clear it to hold
            requests back after their run is counted.
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
        """Start serving."""
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
            raise ConnectionResetError("connection cut by a simulated fault")
        headers = [("X-Request-Id", request.headers.get("X-Request-Id", ""))]
        writer.answer_json(200, {"service": self.name, "done": True}, headers)
