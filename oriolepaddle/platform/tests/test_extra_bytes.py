import contextlib
import re
import socket
import threading
import time

import pytest

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.clock import SystemClock
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.tests.test_transport import make_request
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.platform import PlatformProtocol
from oriolepaddle.platform.names import REQUEST_ID, SEAL

PROTOCOL = PlatformProtocol("n1")
REQUESTS = 4
GAP_S = 0.03


def make_answer(request_id, framing):
    """Return the bytes of an answer whose body names its request."""
    body = b"ran " + request_id
    fields = b"%b: %b\r\n%b: 3e1b\r\n" % (
        REQUEST_ID.encode(),
        request_id,
        SEAL.encode(),
    )
    plain = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (
        len(body),
        fields,
        body,
    )
    if framing == "chunked":
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n%b" % (
            fields,
            chunks,
        )
    if framing in ("204", "304"):
        return b"HTTP/1.1 %b X\r\n%b\r\n" % (framing.encode(), fields)
    if framing == "interim":
        return b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + plain
    return plain


EXTRA = {
    "a copy": lambda answer: answer,
    "a part of a copy": lambda answer: answer[:40],
    "a body alone": lambda answer: answer.rpartition(b"\r\n\r\n")[2] or b"ran",
    "bytes that are no answer": lambda answer: b"\x00\x01 no answer\r\n\r\n",
    "an empty line": lambda answer: b"\r\n",
}
TIMES = ("at once", "between", "before the next answer")


class ExtraServer:
    """Sends extra bytes beside each answer."""

    def __init__(self, framing, extra, when):
        self.framing, self.extra, self.when = framing, extra, when
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(connection,), daemon=True
                ).start()

    def serve(self, connection):
        late = b""
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65536):
                request_id = re.search(rb"Request-Id: (\S+)", data).group(1)
                answer = make_answer(request_id, self.framing)
                extra = self.extra(answer)
                if self.when == "at once":
                    connection.sendall(answer + extra)
                elif self.when == "between":
                    connection.sendall(answer)
                    time.sleep(GAP_S / 3)
                    connection.sendall(extra)
                else:
                    connection.sendall(late + answer)
                    late = extra


class Writer:
    def __init__(self):
        self.client = "127.0.0.1"
        self.is_started = False
        self.data = bytearray()

    def start(self, status, headers, length=None):
        self.is_started = True

    def write(self, data):
        self.data += data

    def finish(self):
        pass

    def is_abandoned(self):
        return False


def send(transport, clock, address, request_id):
    """Return the body that a caller gets, or None after an error."""
    writer = Writer()
    sink = EdgeSink(
        writer,
        EventSplitter(),
        lambda status, headers: PROTOCOL.read_answer(request_id, status, headers),
        lambda: None,
        lambda: None,
        BufferBudget(1_000_000),
    )
    request = make_request(
        clock,
        id="",
        method="GET",
        body=b"",
        headers=((REQUEST_ID, request_id),),
        deadline_s=clock.monotonic_s() + 2,
    )
    try:
        transport.run(address, request, sink)
        sink.complete()
    except OriolepaddleError:
        return None
    return bytes(writer.data)


class TestExtraBytes:
    # What an endpoint sends beside an answer must reach no other caller.
    @pytest.mark.parametrize("when", TIMES)
    @pytest.mark.parametrize("extra", EXTRA)
    @pytest.mark.parametrize("framing", ["length", "chunked", "204", "304", "interim"])
    def test_of_one_answer_reach_no_other_request(self, framing, extra, when):
        server = ExtraServer(framing, EXTRA[extra], when)
        clock = SystemClock()
        transport = EndpointTransport(clock)
        has_body = framing not in ("204", "304")
        bodies = []
        for number in range(REQUESTS):
            request_id = f"{number:016x}"
            body = send(transport, clock, server.address, request_id)
            expected = b"ran " + request_id.encode() if has_body else b""
            assert body in (None, expected)
            bodies.append(body)
            time.sleep(GAP_S)
        transport.close()
        server.listener.close()
        assert bodies[0] is not None
