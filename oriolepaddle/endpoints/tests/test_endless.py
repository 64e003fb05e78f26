"""Endpoints that send bytes without end that are no answer."""

import contextlib
import itertools
import socket
import threading
from datetime import timedelta

import pytest

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.clock import ManualClock, SystemClock
from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.exchange import MAX_DISCARDED_BYTES, CurlExchange
from oriolepaddle.endpoints.tests.test_transport import CollectingSink, make_request
from oriolepaddle.errors import AnswerMalformedError, OriolepaddleError, Outcome

MAX_SENT_BYTES = 24_000_000
"""Accepted bytes of one answer: the largest buffered body, and the sockets' buffers."""
MAX_HEAD_BYTES = 4_000_000
SEND_BUFFER_BYTES = 65_536
"""Otherwise the kernel alone takes more than a head may have before a slow reader."""
DEADLINE_S = 20.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
HEADS = {
    "no status line": (b"", b"x" * 8192),
    "unfinished status line": (b"HTTP/1.1 200 ", b"x" * 8192),
    "unfinished field": (OK + b"A: ", b"x" * 8192),
    "fields": (OK, b"A: b\r\n" * 1024),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 256),
}
BODIES = {
    "until the close": (OK + b"\r\n", b"x" * 8192),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
}


class EndlessServer:
    """Answers one request with a start and a part that it repeats until the close."""

    def __init__(self, start, part):
        self.parts = itertools.chain([start], itertools.repeat(part))
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        connection, _ = self.listener.accept()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            for part in self.parts:
                connection.sendall(part)
                self.sent_bytes += len(part)


class DiscardingWriter:
    """A caller that has disconnected from nothing and reads everything."""

    is_started = False
    client = "127.0.0.1"

    def start(self, status, headers, length=None):
        self.is_started = True

    def write(self, data):
        pass

    def is_abandoned(self):
        return False


def run_endless(start, part, sink, **changes):
    clock = SystemClock()
    server = EndlessServer(start, part)
    changes["deadline_s"] = clock.monotonic_s() + DEADLINE_S
    request = make_request(clock, **changes)
    started_s = clock.monotonic_s()
    with pytest.raises(OriolepaddleError) as caught:
        EndpointTransport(clock).run(server.address, request, sink)
    assert clock.monotonic_s() - started_s < DEADLINE_S / 2
    return server.sent_bytes, caught.value


def make_sink(is_stream):
    answer = EndpointAnswer(AnswerKind.RAN, 200, (), is_stream)
    return EdgeSink(
        DiscardingWriter(),
        EventSplitter(),
        lambda status, headers: answer,
        lambda: None,
        lambda: None,
        BufferBudget(MAX_SENT_BYTES),
    )


class TestEndlessHead:
    @pytest.mark.parametrize("name", HEADS)
    def test_ends_the_attempt_as_uncertain(self, name):
        sent_bytes, error = run_endless(*HEADS[name], CollectingSink())
        assert sent_bytes < MAX_HEAD_BYTES
        assert error.outcome is Outcome.UNKNOWN


class TestLongHead:
    """The failure: the fields of many answers took a multiple of their bytes."""

    @pytest.mark.parametrize(
        "fields", [b"A: b\r\n" * 1000, (b"A: " + b"x" * 9000 + b"\r\n") * 8]
    )
    def test_fails_the_attempt(self, fields):
        head = OK + fields + b"Content-Length: 0\r\n\r\n"
        _, error = run_endless(head, b"x" * 8192, CollectingSink())
        assert isinstance(error, AnswerMalformedError)
        assert error.outcome is Outcome.UNKNOWN


class TestEndlessExtension:
    """The failure: bytes that libcurl discards were read until the deadline."""

    @pytest.mark.parametrize("start", [b"1;", b"1\r\nx\r\n1;"])
    def test_ends_the_attempt_as_uncertain(self, start):
        start = OK + b"Transfer-Encoding: chunked\r\n\r\n" + start
        _, error = run_endless(
            start, b"x" * 8192, CollectingSink(), stall_timeout_s=DEADLINE_S
        )
        assert isinstance(error, AnswerMalformedError)
        assert error.outcome is Outcome.UNKNOWN


class ReceivingHandle:
    """A handle whose connection receives more each time that it is asked."""

    def __init__(self):
        self.received_bytes = 0
        self.is_interrupted = False

    def count_received_bytes(self):
        self.received_bytes += 2 * MAX_DISCARDED_BYTES
        return self.received_bytes

    def interrupt(self):
        self.is_interrupted = True


class BlockingSink(CollectingSink):
    """A sink whose caller takes a part only after several inspections."""

    def __init__(self, inspect):
        super().__init__()
        self._inspect = inspect

    def on_data(self, data):
        self._inspect()
        super().on_data(data)


class TestSlowCaller:
    """The failure: parts that wait for a slow caller counted as no answer."""

    def test_keeps_the_answer_that_waits_for_it(self):
        clock, handle = ManualClock(), ReceivingHandle()

        def inspect():
            for _ in range(8):
                clock.advance(timedelta(seconds=0.5))
                exchange.inspect()

        sink = BlockingSink(inspect)
        request = make_request(clock, deadline_s=60.0, stall_timeout_s=60.0)
        exchange = CurlExchange(handle, clock, request, sink)
        exchange._on_header(b"HTTP/1.1 200 OK")
        assert exchange._on_data(b"part") == 4
        assert not handle.is_interrupted
        inspect()
        assert handle.is_interrupted


class TestEndlessBody:
    @pytest.mark.parametrize("is_stream", [False, True])
    @pytest.mark.parametrize("name", BODIES)
    def test_ends_the_attempt_as_uncertain(self, name, is_stream):
        sent_bytes, error = run_endless(*BODIES[name], make_sink(is_stream))
        assert sent_bytes < MAX_SENT_BYTES
        assert error.outcome is Outcome.UNKNOWN
