import json
import socket
import threading
import time
from datetime import timedelta

import pytest

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.clock import SystemClock
from oriolepaddle.web import HttpServer, ServerLimits


class EchoApplication:
    def __init__(self):
        self.release = threading.Event()
        self.entered = threading.Event()
        self.paths = []

    def handle(self, request, writer):
        if request.path == "/wait":
            self.entered.set()
            self.release.wait(10)
        body = request.get_data()
        self.paths.append(request.environ["RAW_URI"])
        writer.answer(200, request.method.encode() + b" " + body, "text/plain")


def make_server(**limits):
    server = HttpServer(
        "127.0.0.1", 0, EchoApplication(), SystemClock(), ServerLimits(**limits)
    )
    server.start()
    return server


@pytest.fixture
def server():
    server = make_server(
        max_connections=8,
        max_header_bytes=2000,
        max_body_bytes=1000,
        header_timeout=timedelta(milliseconds=300),
        body_timeout=timedelta(milliseconds=300),
    )
    yield server
    server.application.release.set()
    server.close()


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), timeout=5)


def read_response(connection):
    stream = connection.makefile("rb")
    status = int(stream.readline().split()[1])
    length = 0
    for line in iter(stream.readline, b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return status, stream.read(length)


def wait_until_idle(server):
    (connection,) = server._connections
    while not connection.is_idle:
        threading.Event().wait(0.001)


def send(server, data):
    with connect(server) as connection:
        connection.sendall(data)
        return read_response(connection)


INVALID_REQUESTS = [
    (b"nonsense\r\n\r\n", 400, "malformed_request"),
    (b"GET / HTTP/1.1\r\nX: " + b"a" * 3000 + b"\r\n\r\n", 431, "header_too_large"),
    (b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413, "body_too_large"),
    (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "malformed_request"),
    (b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 408, "request_timeout"),
    (b"GET / HTTP/1.1\r\nX: ", 408, "request_timeout"),
    (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
        "malformed_request",
    ),
    (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        400,
        "malformed_request",
    ),
    (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"100\r\n"
        + b"a" * 256
        + b"\r\n" * 1
        + (b"100\r\n" + b"a" * 256 + b"\r\n") * 5,
        413,
        "body_too_large",
    ),
]


class TestHttpServer:
    def test_connection_is_reused(self, server):
        with connect(server) as connection:
            for body in (b"one", b"two"):
                head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
                connection.sendall(head + body)
                assert read_response(connection) == (200, b"POST " + body)

    @pytest.mark.parametrize(("data", "status", "code"), INVALID_REQUESTS)
    def test_invalid_request_gets_error_code(self, server, data, status, code):
        answer = send(server, data)
        assert answer[0] == status
        error = json.loads(answer[1])["error"]
        assert error["code"] == code
        assert error["outcome"] == "not run"
        assert send(server, b"GET / HTTP/1.1\r\n\r\n")[0] == 200

    # The rest of a refused request must not be served as the next one.
    @pytest.mark.parametrize(
        "line", [b"no header field\r\n", b"Content-Length : 40\r\n"]
    )
    def test_request_hidden_behind_a_malformed_line_is_not_served(self, server, line):
        hidden = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        head = b"POST / HTTP/1.1\r\nHost: x\r\n" + line
        head += b"Content-Length: %d\r\n\r\n" % len(hidden)
        with connect(server) as connection:
            connection.sendall(head + hidden)
            assert read_response(connection)[0] == 400
            assert connection.recv(1000) == b""
        assert server.application.paths == []
        assert server.malformed_requests == 1

    @pytest.mark.parametrize("target", ["//a//b", "/a/../b", "/%2e%2e/b"])
    def test_target_is_not_normalised(self, server, target):
        send(server, f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert server.application.paths == [target]

    def test_chunked_body_with_extensions_and_a_trailer_is_served(self, server):
        chunks = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n"
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        with connect(server) as connection:
            for _ in range(2):
                connection.sendall(head + chunks)
                assert read_response(connection) == (200, b"POST abcde")

    # Bodies that are held at once must not exhaust the memory of the process.
    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_body_without_room_is_refused_and_later_ones_are_served(self, is_chunked):
        server = HttpServer(
            "127.0.0.1",
            0,
            EchoApplication(),
            SystemClock(),
            buffers=BufferBudget(10_000),
        )
        server.start()
        body = b"x" * 4000
        framing = b"Content-Length: 4000\r\n\r\n" + body
        if is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n\r\nfa0\r\n%b\r\n0\r\n\r\n" % body
        with connect(server) as busy:
            busy.sendall(b"POST /wait HTTP/1.1\r\n" + framing)
            assert server.application.entered.wait(5)
            status, refusal = send(server, b"POST / HTTP/1.1\r\n" + framing)
            assert status == 503
            assert json.loads(refusal)["error"]["outcome"] == "not run"
            server.application.release.set()
            assert read_response(busy)[0] == 200
        # The memory is returned after the last byte of the response is written.
        deadline_s = time.monotonic() + 5
        while server.buffers.used_bytes and time.monotonic() < deadline_s:
            time.sleep(0.01)
        assert send(server, b"POST / HTTP/1.1\r\n" + framing)[0] == 200
        server.close()
        assert server.buffers.used_bytes == 0

    def test_full_pool_refuses_new_connection(self):
        server = make_server(max_connections=1)
        with connect(server) as busy:
            busy.sendall(b"GET /wait HTTP/1.1\r\n\r\n")
            assert server.application.entered.wait(5)
            status, body = send(server, b"GET / HTTP/1.1\r\n\r\n")
            assert (status, json.loads(body)["error"]["code"]) == (503, "overloaded")
            server.application.release.set()
            assert read_response(busy)[0] == 200
        server.close()

    def test_idle_connection_is_closed_for_a_new_one(self):
        server = make_server(max_connections=1)
        with connect(server) as idle:
            idle.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert read_response(idle)[0] == 200
            wait_until_idle(server)
            assert send(server, b"GET / HTTP/1.1\r\n\r\n")[0] == 200
        server.close()

    def test_stop_accepting_lets_requests_finish(self, server):
        with connect(server) as busy:
            busy.sendall(b"GET /wait HTTP/1.1\r\n\r\n")
            assert server.application.entered.wait(5)
            server.stop_accepting()
            with pytest.raises(OSError):
                connect(server)
            server.application.release.set()
            assert read_response(busy)[0] == 200

    def test_stop_accepting_resets_no_connection(self):
        server = make_server()
        outcomes = []
        stopping = threading.Event()

        def call():
            while not stopping.is_set():
                try:
                    outcomes.append(send(server, b"GET / HTTP/1.1\r\n\r\n")[0])
                except ConnectionRefusedError:
                    return
                except OSError as error:
                    outcomes.append(error)

        callers = [threading.Thread(target=call) for _ in range(8)]
        for caller in callers:
            caller.start()
        while len(outcomes) < 100:
            threading.Event().wait(0.001)
        server.stop_accepting()
        stopping.set()
        for caller in callers:
            caller.join()
        server.close()
        assert set(outcomes) == {200}
