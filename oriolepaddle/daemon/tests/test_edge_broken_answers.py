"""Endpoints whose answers break HTTP, behind edge instances that are processes."""

import itertools
import json
import re
import socket
import threading
import time

import pytest

from oriolepaddle.daemon.tests.broken_endpoint import BREAKS, BrokenEndpoint
from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    HOST,
    KEY,
    await_true,
    make_document,
)
from oriolepaddle.daemon.tests.edge_processes import EdgeProcesses
from oriolepaddle.endpoints.tests.broken_answers import (
    BROKEN_CHUNKS,
    BROKEN_LENGTHS,
    BROKEN_LINES,
    BROKEN_NAMES,
    CHUNKED,
    EARLY,
    SOUND,
    STATUS_000,
)
from oriolepaddle.endpoints.tests.raw_endpoint import Ending
from oriolepaddle.platform.standins import RunnerStandin, StoreStandin

SEAL = b"x-oriolepaddle-server-seal"
OUTCOME = b"x-request-outcome: unknown"
END = b"\r\n"
EVENT = b"f\r\nid: 1\ndata: a\n\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
UPLOAD = b"x" * 3_000_000
PAUSE_S = 0.3
TIMEOUT_S = 10
RETRY_AFTER_S = 0.1
INSTANCES = {"direct": "s1", "forwarded": "n1"}
_request_ids = itertools.count(1)


class Fleet:
    """Two regions; the broken endpoints stand in that of the instance `s1`."""

    def __init__(self):
        self.desk, self.engine = BrokenEndpoint(), BrokenEndpoint()
        self.store = StoreStandin()
        self.store.start()
        self.store.put("op/config", json.dumps(make_document()).encode())
        self.runners = []
        for name, service, endpoint in (
            ("d1", DESK, self.desk),
            ("e1", ENGINES, self.engine),
        ):
            self.add_runner(name, service, endpoint.address)
        self.processes = EdgeProcesses(self.store.address)
        self.processes.add("s1", "sudur-a")
        self.processes.add("n1", "nordur-a")

    def await_ready(self):
        self.processes.await_ready()
        self.set_answer(SOUND["length"])
        for name in self.processes.instances:
            await_true(
                lambda n=name: self.send(n, "POST", "/book/").startswith(b"HTTP/1.1 2")
            )

    def add_runner(self, name, service, address=""):
        runner = RunnerStandin(name, service, "sudur-a")
        runner.advertised_address = address
        runner.start()
        self.runners.append(runner)
        self.register(runner)
        return runner

    def remove_runner(self, runner):
        self.runners.remove(runner)
        self.store.delete(f"servers/{runner.id}")
        runner.stop()

    def register(self, runner):
        self.store.put(f"servers/{runner.id}", runner.describe())

    def register_again(self):
        """Register all runners as restarted, so that none is avoided any more."""
        for runner in self.runners:
            runner.born_ms += 1000
            self.register(runner)

    def set_answer(self, answer, ending=Ending.READ_ALL):
        self.register_again()
        self.desk.set_answer(answer, ending)
        self.engine.set_answer(answer, ending)

    def send(self, name, method, prefix, body=b""):
        """Send a new request until it isn't refused as not run; return the response."""
        # One that has broken endpoints before would be rejected.
        path = f"{prefix}{next(_request_ids)}"
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            response = self.send_once(name, method, path, body)
            if not response.startswith(b"HTTP/1.1 503 "):
                break
            threading.Event().wait(RETRY_AFTER_S)
        return response

    def send_once(self, name, method, path, body):
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Token {KEY}\r\nContent-Length: {len(body)}\r\n"
            f"X-Oriolepaddle-Request-Id: {next(_request_ids):016x}\r\n"
            "X-Oriolepaddle-Deadline-Ms: 4000\r\n\r\n"
        )
        address = self.processes.instances[name].address()
        with socket.create_connection(address, timeout=TIMEOUT_S) as connection:
            connection.sendall(head.encode() + body)
            response = b""
            while not is_whole(response):
                received = connection.recv(65_536)
                if not received:
                    break
                response += received
            return response

    def close(self):
        self.processes.stop()
        for endpoint in (self.desk, self.engine):
            endpoint.close()
        for runner in self.runners:
            runner.stop()
        self.store.stop()


@pytest.fixture(scope="module")
def fleet():
    fleet = Fleet()
    try:
        fleet.await_ready()
        yield fleet
    finally:
        fleet.close()


def is_whole(response):
    head, _, body = response.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    if b"\r\nTransfer-Encoding: chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    return length is not None and len(body) >= int(length.group(1))


def check_failed(response):
    head, _, body = response.partition(b"\r\n\r\n")
    head = head.lower()
    assert head.startswith(b"http/1.1 502 "), response
    assert SEAL not in head
    assert OUTCOME in head
    assert b"retry-after" not in head
    assert json.loads(body)["error"]["outcome"] == "unknown"


@pytest.mark.parametrize("path", INSTANCES)
class TestBrokenHead:
    """The failure: a head that is not HTTP came with an answer taken as complete."""

    @pytest.mark.parametrize("name", BROKEN_LENGTHS)
    def test_that_tells_no_length_fails_the_request(self, fleet, name, path):
        fleet.set_answer(BROKEN_LENGTHS[name])
        check_failed(fleet.send(INSTANCES[path], "POST", "/book/"))
        assert fleet.desk.requests == 1

    @pytest.mark.parametrize("name", BROKEN_LINES)
    def test_with_a_line_that_is_no_field_fails_the_request(self, fleet, name, path):
        fleet.set_answer(BROKEN_LINES[name])
        check_failed(fleet.send(INSTANCES[path], "POST", "/book/"))
        assert fleet.desk.requests == 1

    @pytest.mark.parametrize("name", BROKEN_NAMES)
    def test_with_a_broken_name_fails_the_request(self, fleet, name, path):
        fleet.set_answer(BROKEN_NAMES[name])
        check_failed(fleet.send(INSTANCES[path], "POST", "/book/"))
        assert fleet.desk.requests == 1

    def test_of_a_stream_fails_the_request(self, fleet, path):
        fleet.set_answer(STREAM + b"X Note: a\r\n\r\n" + EVENTS)
        check_failed(fleet.send(INSTANCES[path], "POST", "/ask/"))
        assert fleet.engine.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestBrokenChunks:
    """The failure: chunks whose framing is not HTTP were taken as a body."""

    @pytest.mark.parametrize("name", BROKEN_CHUNKS)
    def test_fail_the_request(self, fleet, name, path):
        fleet.set_answer(BROKEN_CHUNKS[name])
        check_failed(fleet.send(INSTANCES[path], "POST", "/book/"))
        assert fleet.desk.requests == 1

    def test_of_a_stream_cut_it_visibly(self, fleet, path):
        broken = b"fx\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
        fleet.set_answer(STREAM + CHUNKED + END + EVENT + broken)
        response = fleet.send(INSTANCES[path], "POST", "/ask/")
        assert b"id: 2" not in response
        is_failure = response.startswith(b"HTTP/1.1 502 ")
        assert is_failure or not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("path", INSTANCES)
class TestStatus000:
    """The failure: an answer whose status is none reached the caller."""

    @pytest.mark.parametrize("route", ["/book/", "/ask/"])
    def test_fails_the_request(self, fleet, route, path):
        fleet.set_answer(STATUS_000)
        check_failed(fleet.send(INSTANCES[path], "POST", route))
        assert fleet.desk.requests + fleet.engine.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestEarlyAnswer:
    """The failure: a part of an answer to a long upload was taken as complete."""

    @pytest.mark.parametrize("ending", BREAKS)
    @pytest.mark.parametrize("name", EARLY)
    def test_without_a_length_that_breaks_fails_the_request(
        self, fleet, name, ending, path
    ):
        fleet.set_answer(EARLY[name], ending)
        check_failed(fleet.send(INSTANCES[path], "POST", "/book/", UPLOAD))
        assert fleet.desk.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestSoundAnswer:
    """The failure: a sound answer of a rare form is rejected."""

    @pytest.mark.parametrize("name", SOUND)
    def test_reaches_the_caller(self, fleet, name, path):
        fleet.set_answer(SOUND[name])
        response = fleet.send(INSTANCES[path], "POST", "/book/")
        head, _, body = response.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), response
        assert SEAL in head.lower()
        assert b"abc" in body


class TestRepeatedRequest:
    """The failure: an answer that breaks HTTP ended a request that may be repeated."""

    @pytest.fixture
    def other(self, fleet):
        runner = fleet.add_runner("d2", DESK)
        # A faster one would get the request at first.
        runner.pause_s = PAUSE_S
        yield runner
        fleet.remove_runner(runner)

    @pytest.mark.parametrize("name", ["blank before the colon", "letters"])
    def test_is_answered_by_another_endpoint(self, fleet, other, name):
        def is_repeated():
            fleet.set_answer(BROKEN_LENGTHS[name])
            response = fleet.send("s1", "GET", "/read/")
            assert b"\r\n\r\nabc" not in response
            # The other endpoint isn't known at once.
            is_answered = response.startswith(b"HTTP/1.1 200 ")
            return is_answered and fleet.desk.requests == 1

        await_true(is_repeated)


class TestResumedStream:
    """The failure: a stream went on with events of an answer that breaks HTTP."""

    @pytest.fixture
    def endpoints(self, fleet):
        other = BrokenEndpoint()
        runner = fleet.add_runner("e2", ENGINES, other.address)
        yield fleet.engine, other
        fleet.remove_runner(runner)
        other.close()

    @pytest.mark.parametrize("line", [b"X Note: a", b"Content-Length : 42", b"abc"])
    def test_gets_no_event_of_a_broken_answer(self, fleet, endpoints, line):
        for endpoint in endpoints:
            endpoint.set_answer(STREAM + CHUNKED + END + EVENT)
            endpoint.resumed_answer = STREAM + line + b"\r\n\r\nid: 2\ndata: b\n\n"

        def is_resumed():
            fleet.register_again()
            response = fleet.send("s1", "POST", "/chat/")
            assert b"id: 1" in response
            assert b"id: 2" not in response
            assert not response.endswith(b"0\r\n\r\n")
            return any(endpoint.resumptions for endpoint in endpoints)

        await_true(is_resumed)
