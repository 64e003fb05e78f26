"""Endpoints that send bytes without end to an edge instance that is a process."""

import itertools
import socket
import threading

import pytest

from oriolepaddle.daemon.tests.edge_fleet import await_true, make_route
from oriolepaddle.daemon.tests.slow_clients import Crowd, make_head
from oriolepaddle.daemon.tests.test_slow_clients import (
    MAX_CONNECTIONS,
    SlowClientFleet,
    alone,
    check_bounds,
    succeeds_in_attempts,
)
from oriolepaddle.endpoints.tests.raw_endpoint import ConnectionServer
from oriolepaddle.platform.standins import RunnerStandin

__all__ = ["alone"]

pytestmark = pytest.mark.timeout(600)

FAULTY = "faulty"
ENDPOINTS = 4
CROWD = MAX_CONNECTIONS - 8
SEND_TIMEOUT_S = 8
PEER_SEND_BUFFER_BYTES = 65_536
OK = b"HTTP/1.1 200 OK\r\n"
STREAM = OK + b"Content-Type: text/event-stream\r\n"
FIELDS = b"X-Oriolepaddle-Request-Id: %b\r\nX-Oriolepaddle-Server-Seal: 3e1b.07\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "no-status-line": (b"", b"x" * 8192),
    "status-line": (b"HTTP/1.1 200 ", b"x" * 8192),
    "one-field": (OK + b"A: ", b"x" * 8192),
    "short-fields": (OK, b"A:\r\n" * 2048),
    "interim-answers": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 256),
    "body": (OK + FIELDS + b"\r\n", b"x" * 8192),
    "chunks": (OK + FIELDS + CHUNKS, b"2000\r\n" + b"x" * 0x2000 + b"\r\n"),
    "one-byte-chunks": (OK + FIELDS + CHUNKS, b"1\r\nx\r\n" * 2048),
    "chunk-extension": (OK + FIELDS + CHUNKS + b"1;", b"x" * 8192),
    "trailers": (OK + FIELDS + CHUNKS + b"0\r\n", b"A:\r\n" * 2048),
    "event": (STREAM + FIELDS + CHUNKS, b"2000\r\n" + b"x" * 0x2000 + b"\r\n"),
    "after-a-length": (OK + FIELDS + b"Content-Length: 1\r\n\r\nx", b"x" * 8192),
}
SLOW_ANSWERS = {
    "short-fields-slowly": (OK + b"A:\r\n" * 70_000, b"A:\r\n"),
    "short-trailers-slowly": (
        OK + FIELDS + CHUNKS + b"0\r\n" + b"A:\r\n" * 70_000,
        b"A:\r\n",
    ),
    "event-slowly": (
        STREAM + FIELDS + CHUNKS + b"30000\r\n" + b"x" * 0x2FFF0,
        b"x",
    ),
}
SLOW_PAUSE_S = 0.1


class EndlessEndpoint(ConnectionServer):
    """Answers each request with a start and a part that it repeats until the close."""

    def __init__(self, start, part, pause_s):
        self._start = start
        self._part = part
        self._pause_s = pause_s
        self.connections = 0
        super().__init__(self._respond)

    def _respond(self, connection):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, PEER_SEND_BUFFER_BYTES
        )
        head = connection.recv(65_536)
        self.connections += 1
        name = b"x-oriolepaddle-request-id: "
        request_id = head.lower().partition(name)[2].partition(b"\r\n")[0]
        start = self._start
        connection.sendall(start % request_id if b"%b" in start else start)
        for part in itertools.repeat(self._part):
            connection.sendall(part)
            if self._pause_s:
                threading.Event().wait(self._pause_s)


class EndlessFleet(SlowClientFleet):
    """An instance with endpoints of which some never end their answers."""

    def __init__(self, start, part, pause_s):
        self.endpoints = [
            EndlessEndpoint(start, part, pause_s) for _ in range(ENDPOINTS)
        ]
        super().__init__()

    def make_document(self):
        document = super().make_document()
        route = make_route("faulty", "/faulty/", "unsafe", FAULTY, maxAttempts=1)
        document["routes"].append(route)
        document["services"].append({"name": FAULTY, "healthPath": "/health"})
        return document

    def make_runners(self):
        runners = super().make_runners()
        for number, endpoint in enumerate(self.endpoints):
            runner = RunnerStandin(f"faulty-{number}", FAULTY, "nordur-a")
            runner.advertised_address = endpoint.address
            runners.append(runner)
        return runners

    def count_connections(self):
        return sum(endpoint.connections for endpoint in self.endpoints)

    def close(self):
        super().close()
        for endpoint in self.endpoints:
            endpoint.close()


@pytest.fixture(params=[*ANSWERS, *SLOW_ANSWERS])
def fleet(request):
    name = request.param
    is_slow = name in SLOW_ANSWERS
    start, part = (SLOW_ANSWERS if is_slow else ANSWERS)[name]
    fleet = EndlessFleet(start, part, SLOW_PAUSE_S if is_slow else 0)
    yield fleet
    fleet.close()


class TestAnswerWithoutEnd:
    """The failure: the answers of a faulty endpoint filled the memory of a process."""

    def test_leaves_the_process_within_its_limits(self, fleet):
        address = fleet.instance.address()
        request = make_head("POST", "/faulty/1", "Content-Length: 0")
        with fleet.meter() as meter:
            with Crowd(address, CROWD, [request], reads=65_536) as crowd:
                crowd.await_sent(SEND_TIMEOUT_S)
                is_answered = succeeds_in_attempts(fleet.is_answered)
        await_true(lambda: fleet.count_connections() > 0)
        check_bounds(fleet, meter)
        assert is_answered
