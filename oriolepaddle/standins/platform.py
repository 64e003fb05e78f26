"""A stand-in for the platform: configuration, instance list, client directory."""

import threading

import attrs
from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.config import Ticket, write_ticket
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.publication import (
    ClientRecord,
    Instance,
    ServiceValue,
)
from oriolepaddle.web import AnswerWriter, HttpServer

__all__ = ["PlatformStandin"]

MAX_VALUES_PER_CALL = 500


class PlatformStandin:
    """Serves published tickets, the instance list and the clients over HTTP.

    Attributes:
        is_down: Whether all calls fail.
        is_stale: Whether calls return only what was published before it was set.
        calls: The number of calls received; a long poll counts as one.
    """

    def __init__(self, port: int = 0, clock: Clock | None = None) -> None:
        self.is_down = False
        self.calls = 0
        self._changed = threading.Condition()
        self._values: list[ServiceValue] = []
        self._instances: tuple[Instance, ...] = ()
        self._instances_revision = 1
        self._clients: tuple[ClientRecord, ...] = ()
        self._stale_values: list[ServiceValue] | None = None
        self._server = HttpServer(
            "127.0.0.1", port, self, clock or SystemClock(), name="platform"
        )
        self.address = f"127.0.0.1:{self._server.port}"

    @property
    def is_stale(self) -> bool:
        """Whether new values are hidden from readers."""
        return self._stale_values is not None

    @is_stale.setter
    def is_stale(self, value: bool) -> None:
        """Hide values that are published from now on, or show all values again."""
        with self._changed:
            self._stale_values = list(self._values) if value else None
            self._changed.notify_all()

    def hide_after(self, revision: int) -> None:
        """Return to readers only the values up to a revision."""
        with self._changed:
            self._stale_values = self._values[:revision]
            self._changed.notify_all()

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self.is_down = True
        with self._changed:
            self._changed.notify_all()
        self._server.close()

    def publish(self, ticket: Ticket) -> None:
        """Publish a ticket."""
        self.publish_text(f"tickets/{ticket.number}", write_ticket(ticket))

    def publish_text(self, key: str, text: str) -> None:
        """Publish any text, which need not be a valid ticket."""
        with self._changed:
            revision = len(self._values) + 1
            self._values.append(ServiceValue(key, text, revision))
            self._changed.notify_all()

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Publish the list of instances."""
        with self._changed:
            self._instances = instances
            self._instances_revision += 1
            self._changed.notify_all()

    def set_clients(self, clients: tuple[ClientRecord, ...]) -> None:
        """Publish the client directory."""
        self._clients = clients

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one call; see `Application.handle`."""
        self.calls += 1
        if self.is_down:
            raise RefusedError("the platform is down", code=ErrorCode.NOT_READY)
        after = request.args.get("after", 0, int)
        wait_s = request.args.get("wait_ms", 0, int) / 1000
        if request.path == "/v1/values":
            prefix = request.args.get("prefix", "")
            writer.answer_json(200, self._read_values(prefix, after, wait_s))
        elif request.path == "/v1/instances":
            writer.answer_json(200, self._read_instances(after, wait_s))
        elif request.path == "/v1/clients":
            clients = [attrs.asdict(client) for client in self._clients]
            writer.answer_json(200, {"clients": clients})
        else:
            raise RefusedError("no such call", code=ErrorCode.ROUTE_UNKNOWN)

    def _read_values(self, prefix: str, after: int, wait_s: float) -> dict:
        with self._changed:
            self._changed.wait_for(
                lambda: self.is_down or self._select_values(prefix, after), wait_s
            )
            values = self._select_values(prefix, after)
            page = values[:MAX_VALUES_PER_CALL]
            is_complete = len(page) == len(values)
            revision = self._visible_revision() if is_complete else page[-1].revision
        if self.is_down:
            raise RefusedError("the platform is down", code=ErrorCode.NOT_READY)
        return {
            "revision": max(revision, after),
            "complete": is_complete,
            "values": [attrs.asdict(value) for value in page],
        }

    def _visible_values(self) -> list[ServiceValue]:
        return self._values if self._stale_values is None else self._stale_values

    def _visible_revision(self) -> int:
        return len(self._visible_values())

    def _select_values(self, prefix: str, after: int) -> list[ServiceValue]:
        newer_values = self._visible_values()[after:]
        return [value for value in newer_values if value.key.startswith(prefix)]

    def _read_instances(self, after: int, wait_s: float) -> dict:
        with self._changed:
            self._changed.wait_for(
                lambda: self.is_down or self._instances_revision != after,
                wait_s if after else 0,
            )
            instances = self._instances
            revision = self._instances_revision
        if self.is_down:
            raise RefusedError("the platform is down", code=ErrorCode.NOT_READY)
        return {
            "revision": revision,
            "instances": [attrs.asdict(instance) for instance in instances],
        }
