import threading
from datetime import timedelta

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.web import HttpServer, ServerLimits
from oriolepaddle.web.shedding import ConnectionPhase
from oriolepaddle.web.tests.test_server import connect, read_response

REQUEST = b"GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n"
UNFINISHED = {
    "header": b"GET / HTTP/1.1\r\nHost:",
    "body": b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
    "chunk": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n9\r\nx",
}


class LongApplication:
    def __init__(self):
        self.handled = []
        self.has_failed = threading.Event()

    def handle(self, request, writer):
        self.handled.append(request.path)
        body = b"x" * 50_000_000 if request.path == "/long" else b"short"
        try:
            writer.answer(200, body, "text/plain")
        except OSError:
            self.has_failed.set()
            raise


def make_server(**limits):
    application = LongApplication()
    clock = SystemClock()
    server = HttpServer("127.0.0.1", 0, application, clock, ServerLimits(**limits))
    server.start()
    return server


def is_answered(server):
    with connect(server) as connection:
        connection.sendall(REQUEST)
        return read_response(connection)[0] == 200


def is_answered_at_last(server):
    for _ in range(40):
        if is_answered(server):
            return True
        threading.Event().wait(0.1)
    return False


class TestSlowClients:
    # Guards against unfinished requests that occupy all threads, and against a 408 for
    # a request that runs.
    @pytest.mark.parametrize("part", UNFINISHED)
    def test_unfinished_request_gives_way_and_has_not_run(self, part):
        server = make_server(max_connections=1)
        with connect(server) as slow:
            slow.sendall(UNFINISHED[part])
            assert is_answered_at_last(server)
            status, body = read_response(slow)
        assert (status, b'"not run"' in body) == (408, True)
        assert server.application.handled == ["/ordinary"]
        assert server.count_shed(ConnectionPhase.RECEIVING) == 1
        server.close()

    # Guards against responses that nobody reads.
    def test_stopped_reader_gives_way(self):
        server = make_server(max_connections=1)
        with connect(server) as slow:
            slow.sendall(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
            assert is_answered_at_last(server)
        assert server.count_shed(ConnectionPhase.STALLED) == 1
        server.close()

    def test_stopped_reader_is_given_up_without_a_shortage(self):
        server = make_server(write_timeout=timedelta(milliseconds=100))
        with connect(server) as slow:
            slow.sendall(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
            assert server.application.has_failed.wait(5)
        server.close()
