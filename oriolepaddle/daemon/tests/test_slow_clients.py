"""Slow and abusive clients of edge instances that are processes of their own."""

import fcntl
import http.client
import json
import resource
import socket
import tempfile
import threading
from pathlib import Path

import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    NETWORK,
    await_true,
    make_document,
    make_route,
)
from oriolepaddle.daemon.tests.edge_processes import EdgeProcesses
from oriolepaddle.daemon.tests.slow_clients import Crowd, ProcessMeter, make_head
from oriolepaddle.platform.standins import RunnerStandin, StoreStandin

pytestmark = pytest.mark.timeout(600)

MEMORY_MB = 110
BYTES_PER_MB = 1_000_000
MAX_CONNECTIONS = 48
SMALL_LISTENER_CONNECTIONS = 32
MAX_DESCRIPTORS = 400
FILES = 200
"""Descriptors of the limit that are meant for files, not for connections."""
ANSWER_BYTES = 4_000_000
EVENTS = 400
BODY_BYTES = 1_000_000
"""The largest legal body."""
HEADER_BYTES = 30_000
PIECE_BYTES = 10_000
LARGE_CHUNK_BYTES = 250_000
TINY_CHUNKS = 100_000
PIPELINED_REQUESTS = 2000
SEND_TIMEOUT_S = 8
ATTEMPTS = 3
RETRY_AFTER_S = 1
ARCHIVE = "archive"
LOCK_FILE = Path(tempfile.gettempdir()) / "oriolepaddle-slow-clients.lock"


@pytest.fixture(autouse=True)
def alone():
    """Run one of these tests at a time, in whichever process of the test run."""
    with LOCK_FILE.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


class SlowClientFleet:
    """One instance with lowered limits, and the endpoints of its services."""

    def __init__(self):
        self.store = StoreStandin()
        self.store.start()
        self.store.put("op/config", json.dumps(self.make_document()).encode())
        self.runners = self.make_runners()
        for runner in self.runners:
            runner.start()
            self.store.put(f"servers/{runner.id}", runner.describe())
        self.processes = EdgeProcesses(self.store.address)
        host = NETWORK.add_host()
        (port,) = NETWORK.find_ports(host, 1)
        self.instance = self.processes.add(
            "one",
            memory_mb=MEMORY_MB,
            max_connections=MAX_CONNECTIONS,
            metrics_address=f"{host}:{port}",
        )
        process_id = self.instance.process.pid
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(process_id, resource.RLIMIT_NOFILE, limits)
        self.processes.await_ready()
        await_true(self.is_answered)

    def make_document(self):
        document = make_document()
        document["limits"] |= {"maxBodyBytes": BODY_BYTES}
        document["routes"].append(make_route("long", "/long/", "safe", ARCHIVE))
        document["services"].append({"name": ARCHIVE, "healthPath": "/health"})
        return document

    def make_runners(self):
        runners = [RunnerStandin("desk-1", DESK, "nordur-a")]
        for number in range(8):
            runners.append(_make_long_runner(f"archive-{number}", ARCHIVE, 0))
            runners.append(_make_long_runner(f"engine-{number}", ENGINES, EVENTS))
        return runners

    def meter(self):
        return ProcessMeter(self.instance.process.pid)

    def is_answered(self):
        try:
            status, body = self.instance.request("/read/1", "0a")
        except (OSError, http.client.HTTPException) as error:
            print("no response to an ordinary request:", error)
            return False
        if status != 200:
            print("response to an ordinary request:", status, body)
        return status == 200

    def is_any_answered(self, listener, path):
        """Return whether a listener answers a request other than by refusing it."""
        address = self.instance.address(listener)
        connection = http.client.HTTPConnection(*address, timeout=10)
        try:
            connection.request("GET", path)
            return connection.getresponse().status != 503
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def close(self):
        self.processes.stop()
        for runner in self.runners:
            runner.stop()
        self.store.stop()


def _make_long_runner(name, service, events):
    runner = RunnerStandin(name, service, "nordur-a", events)
    runner.answer_bytes = ANSWER_BYTES
    return runner


@pytest.fixture
def fleet():
    fleet = SlowClientFleet()
    yield fleet
    fleet.close()


def succeeds_in_attempts(action):
    """Repeat a request as callers do after a refusal."""
    for _ in range(ATTEMPTS):
        if action():
            return True
        threading.Event().wait(RETRY_AFTER_S)
    return False


def chunks_short_by_one_byte(size, count):
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    last = chunk[:-3]
    return [chunk * (count - 1) + last]


def make_body_pieces(size):
    body = b"x" * (BODY_BYTES - 1)
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    length = f"Content-Length: {BODY_BYTES}"
    return [make_head("POST", "/read/1", length), *pieces]


def make_chunked(chunks):
    return [make_head("POST", "/read/1", "Transfer-Encoding: chunked"), *chunks]


def make_open_header():
    line = b"X-Padding: " + b"x" * 980 + b"\r\n"
    return [make_head("GET", "/read/1")[:-2] + line * (HEADER_BYTES // len(line))]


LONG_REQUEST = make_head("GET", "/long/1")
STREAM_REQUEST = make_head("GET", "/chat/1")
CROWDS = {
    "idle-connections": [],
    "slow-readers-of-long-responses": [LONG_REQUEST],
    "streams-whose-readers-stop": [STREAM_REQUEST],
    "bodies-at-once": make_body_pieces(BODY_BYTES),
    "bodies-in-pieces": make_body_pieces(PIECE_BYTES),
    "large-chunks": make_chunked(chunks_short_by_one_byte(LARGE_CHUNK_BYTES, 4)),
    "one-byte-chunks": make_chunked(chunks_short_by_one_byte(1, TINY_CHUNKS)),
    "unterminated-headers": make_open_header(),
    "requests-behind-a-slow-response": [LONG_REQUEST * PIPELINED_REQUESTS],
}
OTHER_LISTENERS = {
    "directory": (MAX_CONNECTIONS, "/resolve?name=desk.example&region=nordur"),
    "readiness": (SMALL_LISTENER_CONNECTIONS, "/ready"),
    "metrics": (SMALL_LISTENER_CONNECTIONS, "/metrics"),
    "peer": (MAX_CONNECTIONS, "/read/1"),
}


def check_bounds(fleet, meter):
    print(
        f"peak {meter.peak_bytes / BYTES_PER_MB:.0f} MB, "
        f"{meter.peak_descriptors} descriptors"
    )
    assert fleet.instance.is_alive
    assert meter.peak_bytes <= MEMORY_MB * BYTES_PER_MB
    assert meter.peak_descriptors <= MAX_DESCRIPTORS - FILES


class TestCrowdOfCallers:
    # Guards against a process that ends because of its clients, or serves no others.
    @pytest.mark.parametrize("kind", CROWDS)
    def test_leaves_the_process_within_its_limits(self, fleet, kind):
        address = fleet.instance.address()
        with fleet.meter() as meter:
            with Crowd(address, MAX_CONNECTIONS, CROWDS[kind]) as crowd:
                crowd.await_sent(SEND_TIMEOUT_S)
                is_answered = succeeds_in_attempts(fleet.is_answered)
        check_bounds(fleet, meter)
        assert is_answered

    # Guards against resources that are kept for clients that are gone.
    def test_that_vanishes_leaves_nothing_behind(self, fleet):
        address = fleet.instance.address()
        with fleet.meter() as meter:
            for kind in ("bodies-at-once", "slow-readers-of-long-responses"):
                with Crowd(address, MAX_CONNECTIONS, CROWDS[kind]) as crowd:
                    crowd.await_sent(SEND_TIMEOUT_S)
            is_answered = succeeds_in_attempts(fleet.is_answered)
        check_bounds(fleet, meter)
        assert is_answered


class TestCrowdAtAnotherListener:
    # Guards against a listener that is occupied, or that takes the callers' turn.
    @pytest.mark.parametrize("kind", ["unterminated-headers", "one-byte-chunks"])
    @pytest.mark.parametrize("listener", OTHER_LISTENERS)
    def test_leaves_both_listeners_usable(self, fleet, listener, kind):
        count, path = OTHER_LISTENERS[listener]
        address = fleet.instance.address(listener)
        with fleet.meter() as meter:
            with Crowd(address, count, CROWDS[kind]) as crowd:
                crowd.await_sent(SEND_TIMEOUT_S)
                is_answered = succeeds_in_attempts(fleet.is_answered)
                is_any_answered = succeeds_in_attempts(
                    lambda: fleet.is_any_answered(listener, path)
                )
        check_bounds(fleet, meter)
        assert is_answered
        assert is_any_answered


class TestSingleRequest:
    # Guards against limits that refuse a legal request although nothing else runs.
    def test_with_the_largest_body_in_one_byte_chunks_is_served(self, fleet):
        chunks = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"
        with socket.create_connection(fleet.instance.address(), 60) as connection:
            connection.sendall(b"".join(make_chunked([chunks])))
            assert connection.recv(100).startswith(b"HTTP/1.1 200 ")
