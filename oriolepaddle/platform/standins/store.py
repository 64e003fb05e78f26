"""A stand-in for the store, with items, watches and failures."""

import base64
import enum
import threading
from typing import Any

from werkzeug.wrappers import Request

from oriolepaddle.clock import SystemClock
from oriolepaddle.web import AnswerWriter, HttpServer

__all__ = ["StoreMode", "StoreStandin"]

MAX_ITEMS = 500
SILENCE_S = 5.0


class StoreMode(enum.StrEnum):
    """How the store behaves."""

    SERVING = "serving"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


class StoreStandin:
    """Serves ranges and watches over HTTP; tests write to it directly.

    Attributes:
        mode: How the store responds to calls.
        calls: The number of calls, including refused ones.
        max_items: The maximum number of items on one page.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.mode = StoreMode.SERVING
        self.calls = 0
        self.max_items = MAX_ITEMS
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._oldest = 0
        self._server = HttpServer(host, 0, self, SystemClock(), name="store")
        self.address = f"{host}:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.mode = StoreMode.RESET
        with self._changed:
            self._changed.notify_all()
        self._server.close()

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision."""
        with self._changed:
            self._revision += 1
            previous = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "createRev": previous["createRev"] if previous else self._revision,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self._revision

    def delete(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop all events, so that watches from earlier revisions get a 410."""
        with self._changed:
            self._events.clear()
            self._oldest = self._revision
            self._changed.notify_all()

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one call; see `Application.handle`."""
        self.calls += 1
        if self.mode is StoreMode.SILENT:
            threading.Event().wait(SILENCE_S)
        if self.mode in (StoreMode.RESET, StoreMode.SILENT):
            raise ConnectionResetError("the store closes the connection")
        if self.mode is StoreMode.BUSY:
            writer.answer_json(503, {})
        elif request.path == "/kv-range":
            self._answer_range(request, writer)
        else:
            self._answer_watch(request, writer)

    def _answer_range(self, request: Request, writer: AnswerWriter) -> None:
        prefix = request.args.get("pathPrefix", "")
        after = request.args.get("after", "")
        with self._changed:
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            page = [self._items[key] for key in keys[: self.max_items]]
            document = {
                "items": page,
                "truncated": len(keys) > len(page),
                "currentRev": self._revision,
            }
        writer.answer_json(200, document)

    def _answer_watch(self, request: Request, writer: AnswerWriter) -> None:
        prefix = request.args.get("pathPrefix", "")
        after = int(request.args["after"])
        wait_s = int(request.args.get("waitMs", 0)) / 1000

        def _find() -> list[dict[str, Any]]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with self._changed:
            if after >= self._oldest:
                self._changed.wait_for(
                    lambda: _find() or after < self._oldest, timeout=wait_s
                )
            is_gone = after < self._oldest
            document = {"events": _find(), "currentRev": self._revision}
        if self.mode is not StoreMode.SERVING:
            raise ConnectionResetError("the store closes the connection")
        writer.answer_json(410 if is_gone else 200, {} if is_gone else document)
