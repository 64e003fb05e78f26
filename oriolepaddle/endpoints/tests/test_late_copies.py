import contextlib
import socket
import threading

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.tests.test_transport import CollectingSink, make_request
from oriolepaddle.errors import EndpointRefusedError

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class RefusedSink(CollectingSink):
    def on_head(self, status, headers):
        raise EndpointRefusedError("the endpoint refused the request")


class RefusingServer:
    """Refuses the first request and writes the refusal again on its connection."""

    def __init__(self):
        self.connection_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connection_count += 1
                is_first = self.connection_count == 1
                with connection, contextlib.suppress(OSError):
                    while connection.recv(65536):
                        connection.sendall(REFUSAL if is_first else ANSWER)


class TestRepeatedRefusal:
    def test_never_answers_the_next_request(self):
        server, clock = RefusingServer(), SystemClock()
        transport = EndpointTransport(clock)
        with pytest.raises(EndpointRefusedError):
            transport.run(server.address, make_request(clock), RefusedSink())
        next_sink = CollectingSink()
        transport.run(server.address, make_request(clock), next_sink)
        assert (next_sink.status, next_sink.data) == (200, b"abc")
        assert server.connection_count == 2
        server.close()
