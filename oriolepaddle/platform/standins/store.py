"""A stand-in for the store, with items, watches and failures."""

import base64
import enum
import threading
from typing import Any

import attrs
from werkzeug.wrappers import Request

from oriolepaddle.clock import SystemClock
from oriolepaddle.web import AnswerWriter, HttpServer

__all__ = ["StoreCopy", "StoreMode", "StoreStandin"]

MAX_ITEMS = 500
SILENCE_S = 5.0
"""Time for which a call waits in the mode `SILENT`."""


class StoreMode(enum.StrEnum):
    """How the store responds to calls.

    Attributes:
        SERVING: Normally.
        BUSY: With status 503.
        RESET: By closing the connection.
        SILENT: By closing the connection after `SILENCE_S`.
    """

    SERVING = "serving"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


@attrs.frozen
class StoreCopy:
    """The content of a store at one time.

    Attributes:
        items: The items by key.
        changes: The history.
        revision: The last revision.
    """

    items: dict[str, dict[str, Any]]
    changes: tuple[dict[str, Any], ...]
    revision: int


class StoreStandin:
    """Serves ranges and watches over HTTP; tests write to it directly.

    Attributes:
        mode: How the store responds to calls.
        call_count: The number of calls, including refused ones.
        max_items: The maximum number of items on one page.
        era: How often it was restored, as text of its header field; None for none.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.mode = StoreMode.SERVING
        self.call_count = 0
        self.max_items = MAX_ITEMS
        self.era: str | None = "1"
        self._change_condition = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._revision = 1
        self._oldest_watchable_revision = 0
        self._server = HttpServer(host, 0, self, SystemClock(), name="store")
        self.address = f"{host}:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        # A watch in progress ends with a closed connection after its wait.
        self.mode = StoreMode.RESET
        with self._change_condition:
            self._change_condition.notify_all()
        self._server.close()

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision."""
        with self._change_condition:
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
            self._changes.append(item)
            self._change_condition.notify_all()
            return self._revision

    def delete(self, key: str) -> None:
        """Remove an item."""
        with self._change_condition:
            self._revision += 1
            self._items.pop(key, None)
            self._changes.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )
            self._change_condition.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of the items, to restore later."""
        with self._change_condition:
            return StoreCopy(dict(self._items), tuple(self._changes), self._revision)

    def restore(self, copy: StoreCopy) -> None:
        """Replace the items by those of a copy; its era rises by one."""
        with self._change_condition:
            self._items = dict(copy.items)
            self._changes = list(copy.changes)
            self._revision = copy.revision
            self.era = str(int(self.era or 0) + 1)
            self._change_condition.notify_all()

    def forget_history(self) -> None:
        """Drop all changes, so that watches from earlier revisions get a 410."""
        with self._change_condition:
            self._changes.clear()
            self._oldest_watchable_revision = self._revision
            self._change_condition.notify_all()

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one call; see `Application.handle`."""
        self.call_count += 1
        if self.mode is StoreMode.SILENT:
            threading.Event().wait(SILENCE_S)
        if self.mode in (StoreMode.RESET, StoreMode.SILENT):
            raise ConnectionResetError("the store closes the connection")
        if self.mode is StoreMode.BUSY:
            writer.answer_json(503, {}, self._describe_era())
        elif request.path == "/kv-range":
            self._answer_range(request, writer)
        else:
            self._answer_watch(request, writer)

    def _answer_range(self, request: Request, writer: AnswerWriter) -> None:
        prefix = request.args.get("pathPrefix", "")
        after_key = request.args.get("after", "")
        with self._change_condition:
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after_key
            )
            page = [self._items[key] for key in keys[: self.max_items]]
            reply = {
                "items": page,
                "truncated": len(keys) > len(page),
                "currentRev": self._revision,
            }
            fields = self._describe_era()
        writer.answer_json(200, reply, fields)

    def _answer_watch(self, request: Request, writer: AnswerWriter) -> None:
        prefix = request.args.get("pathPrefix", "")
        after_revision = int(request.args["after"])
        wait_s = int(request.args.get("waitMs", 0)) / 1000

        def find_changes() -> list[dict[str, Any]]:
            return [
                change
                for change in self._changes
                if change["revision"] > after_revision
                and change["key"].startswith(prefix)
            ]

        def has_revision() -> bool:
            oldest = self._oldest_watchable_revision
            return oldest <= after_revision <= self._revision

        with self._change_condition:
            self._change_condition.wait_for(
                lambda: find_changes() or not has_revision(), timeout=wait_s
            )
            is_history_gone = not has_revision()
            reply = {"events": find_changes(), "currentRev": self._revision}
            fields = self._describe_era()
        if self.mode is not StoreMode.SERVING:
            raise ConnectionResetError("the store closes the connection")
        writer.answer_json(
            410 if is_history_gone else 200,
            {} if is_history_gone else reply,
            fields,
        )

    def _describe_era(self) -> list[tuple[str, str]]:
        return [] if self.era is None else [("Store-Era", self.era)]
