"""An endpoint that sends given bytes, for tests."""

import contextlib
import enum
import socket
import struct
import threading

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.tests.test_transport import CollectingSink, make_request

READ_BYTES = 4096
PAUSE_S = 0.3


class Ending(enum.StrEnum):
    """How the endpoint ends a connection after its bytes."""

    RESET = "reset"
    LATE_RESET = "reset later"
    END_THEN_RESET = "end, then reset"
    READ_ALL = "read the request whole, then end"


class ConnectionServer:
    """Serves each connection on a thread of its own.

    Args:
        serve: Called with each connection; may raise an `OSError`.

    Attributes:
        address: `host:port`.
    """

    def __init__(self, serve):
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._run, args=(connection,), daemon=True
                ).start()

    def _run(self, connection):
        with connection, contextlib.suppress(OSError):
            self._serve(connection)


class RawEndpoint(ConnectionServer):
    """Answers each connection with the same bytes, after the first of a request.

    Args:
        answer: The bytes.
        ending: How each connection ends.
    """

    def __init__(self, answer, ending):
        self._answer = answer
        self._ending = ending
        super().__init__(self._respond)

    def _respond(self, connection):
        head = connection.recv(READ_BYTES)
        if self._ending is Ending.READ_ALL:
            self._read_all(connection, head)
        connection.sendall(self._answer)
        if self._ending is Ending.END_THEN_RESET:
            connection.shutdown(socket.SHUT_WR)
        if self._ending in (Ending.END_THEN_RESET, Ending.LATE_RESET):
            threading.Event().wait(PAUSE_S)
        if self._ending is not Ending.READ_ALL:
            linger = struct.pack("@ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _read_all(self, connection, data):
        head, _, body = data.partition(b"\r\n\r\n")
        fields = head.lower().split(b"content-length: ")
        missing = int(fields[1].split(b"\r\n")[0]) if len(fields) > 1 else 0
        missing -= len(body)
        while missing > 0:
            received = connection.recv(READ_BYTES)
            if not received:
                return
            missing -= len(received)


def run_attempt(answer, ending, **changes):
    """Run one attempt at an endpoint that answers with the bytes; return its sink."""
    endpoint = RawEndpoint(answer, ending)
    clock, sink = SystemClock(), CollectingSink()
    transport = EndpointTransport(clock)
    try:
        transport.run(endpoint.address, make_request(clock, **changes), sink)
    finally:
        transport.close()
        endpoint.close()
    return sink
