"""The control interface of an engine stand-in, which loads models on command."""

import json
import threading

from werkzeug.wrappers import Request

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.web import AnswerWriter

__all__ = ["EngineControlStandin"]

FENCED_STATUS = 409


class EngineControlStandin:
    """Applies commands to load a model at once.

    Args:
        is_fenced: Whether a command with an old fencing number is refused.

    Attributes:
        applied_tickets: The fencing numbers of the applied commands, in order.
    """

    def __init__(self, is_fenced: bool = True) -> None:
        self.is_fenced = is_fenced
        self.applied_tickets: list[int] = []
        self._lock = threading.Lock()
        self._state = {"model": "", "version": "", "adapters": [], "role": "mixed"}
        self._ticket = 0

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one call; see `Application.handle`."""
        if request.path == "/engine/state":
            document = self._state | {"ticket": self._ticket, "loading": False}
            writer.answer_json(200, document)
        elif request.path == "/engine/command":
            self._apply(json.loads(request.get_data()), writer)
        else:
            raise RefusedError("no such call", code=ErrorCode.ROUTE_UNKNOWN)

    def _apply(self, command: dict, writer: AnswerWriter) -> None:
        with self._lock:
            if self.is_fenced and command["ticket"] < self._ticket:
                writer.answer_json(FENCED_STATUS, {"ticket": self._ticket})
                return
            self._ticket = command["ticket"]
            self._state = {name: command[name] for name in self._state}
            self.applied_tickets.append(self._ticket)
        writer.answer_json(200, {"ticket": self._ticket})
