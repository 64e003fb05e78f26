import json
import socket
import threading

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints import EndpointRequest, EndpointTransport
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    Outcome,
    RefusedError,
)
from oriolepaddle.standins import EngineStandin


class CollectingSink:
    def __init__(self):
        self.status = None
        self.headers = ()
        self.data = b""
        self.error = None
        self.refusal = None

    def before_send(self):
        if self.refusal is not None:
            raise self.refusal

    def on_head(self, status, headers):
        self.status = status
        self.headers = headers

    def on_data(self, data):
        self.data += data

    def check(self):
        if self.error is not None:
            raise self.error


class DroppingServer:
    """Answers the first request of each connection and closes it at the second."""

    def __init__(self):
        self.requests = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            serve = threading.Thread(target=self.serve, args=(connection,), daemon=True)
            serve.start()

    def serve(self, connection):
        with connection:
            for is_first in (True, False):
                data = connection.recv(65536)
                if not data:
                    return
                self.requests.append(data)
                if is_first:
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def make_request(clock, tokens=4, stream=True, **changes):
    body = json.dumps({"max_tokens": tokens, "stream": stream}).encode()
    values = {
        "id": "request-1",
        "method": "POST",
        "path": "/v1/completions",
        "headers": (("Content-Type", "application/json"),),
        "body": body,
        "is_idempotent": True,
        "first_byte_timeout_s": 5.0,
        "stall_timeout_s": 5.0,
        "deadline_s": clock.monotonic_s() + 30,
    }
    return EndpointRequest(**(values | changes))


@pytest.fixture
def clock():
    return SystemClock()


@pytest.fixture
def transport(clock):
    return EndpointTransport(clock)


@pytest.fixture
def engine():
    engine = EngineStandin("e1")
    engine.start()
    yield engine
    engine.close()


class TestTarget:
    # An endpoint must run the path that selected the route.
    @pytest.mark.parametrize(
        "path",
        [
            "/order/lodi/../cremona/7",
            "/read/../order/7",
            "/a/./b",
            "/a/%2e%2e/b",
            "/a/%2E/b",
            "/..",
            "//a//b",
            "/a?",
            "/a?b=/../c",
            "/a%2Fb;c=d",
            "/%7euser/~user",
            '/a|b\\c"',
        ],
    )
    @pytest.mark.parametrize("method", ["GET", "HEAD", "POST", "DELETE"])
    def test_is_sent_byte_by_byte(self, transport, clock, path, method):
        server = DroppingServer()
        request = make_request(clock, method=method, path=path, body=b"")
        transport.run(server.address, request, CollectingSink())
        line = server.requests[0].partition(b"\r\n")[0]
        assert line == f"{method} {path} HTTP/1.1".encode()


class TestHeaderFields:
    # An organisation's name need not be ASCII, and a field need not have a value.
    @pytest.mark.parametrize(
        ("value", "expected"),
        [("Þórshöfn", "X-Field: Þórshöfn"), ("", "X-Field:"), ("a b", "X-Field: a b")],
    )
    def test_are_sent(self, transport, clock, value, expected):
        server = DroppingServer()
        request = make_request(clock, headers=(("X-Field", value),))
        transport.run(server.address, request, CollectingSink())
        lines = [line.strip() for line in server.requests[0].split(b"\r\n")]
        assert expected.encode() in lines


class TestEndpointTransport:
    def test_streams_whole_answer(self, transport, engine, clock):
        sink = CollectingSink()
        transport.run(engine.address, make_request(clock), sink)
        assert sink.status == 200
        assert sink.data.endswith(b"data: [DONE]\n\n")
        assert engine.received[0].id == "request-1"

    def test_cut_answer_is_truncated(self, transport, engine, clock):
        engine.faults.cut_after_tokens = 2
        with pytest.raises(AnswerTruncatedError) as caught:
            transport.run(engine.address, make_request(clock), CollectingSink())
        assert caught.value.outcome is Outcome.UNKNOWN

    def test_silent_answer_times_out(self, transport, engine, clock):
        engine.faults.silent_after_tokens = 1
        request = make_request(clock, stall_timeout_s=0.2)
        with pytest.raises(EndpointTimeoutError):
            transport.run(engine.address, request, CollectingSink())

    def test_deadline_error_does_not_blame_the_endpoint(self, transport, engine, clock):
        engine.faults.silent_after_tokens = 1
        request = make_request(clock, deadline_s=clock.monotonic_s() + 0.3)
        with pytest.raises(EndpointDeadlineError):
            transport.run(engine.address, request, CollectingSink())

    def test_closed_endpoint_is_not_run(self, transport, engine, clock):
        engine.close()
        with pytest.raises(EndpointUnreachableError) as caught:
            transport.run(engine.address, make_request(clock), CollectingSink())
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_crash_before_answer_is_unknown(self, transport, engine, clock):
        engine.faults.crash_on = "max_tokens"
        with pytest.raises(EndpointError) as caught:
            transport.run(engine.address, make_request(clock), CollectingSink())
        assert caught.value.outcome is Outcome.UNKNOWN

    def test_error_of_the_sink_cancels_the_attempt(self, transport, engine, clock):
        engine.faults.silent_after_tokens = 1
        sink = CollectingSink()
        sink.error = ConnectionResetError("the caller disconnected")
        with pytest.raises(ConnectionResetError):
            transport.run(engine.address, make_request(clock), sink)

    def test_refusal_before_sending_reaches_no_endpoint(self, transport, engine, clock):
        sink = CollectingSink()
        sink.refusal = RefusedError("the key was withdrawn")
        with pytest.raises(RefusedError):
            transport.run(engine.address, make_request(clock), sink)
        assert not engine.received

    def test_request_is_not_resent_when_a_reused_connection_breaks(
        self, transport, clock
    ):
        server = DroppingServer()
        request = make_request(clock)
        transport.run(server.address, request, CollectingSink())
        with pytest.raises(EndpointFailedError):
            transport.run(server.address, request, CollectingSink())
        server.listener.close()
        assert len(server.requests) == 2

    def test_non_idempotent_request_uses_a_new_connection(self, transport, clock):
        server = DroppingServer()
        request = make_request(clock, is_idempotent=False)
        transport.run(server.address, request, CollectingSink())
        transport.run(server.address, request, CollectingSink())
        server.listener.close()
        assert len(server.requests) == 2
