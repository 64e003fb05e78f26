import socket
import struct
import threading
import time

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.tests.test_transport import CollectingSink, make_request
from oriolepaddle.errors import AnswerTruncatedError, OriolepaddleError, Outcome

RESET_DELAY_S = 0.1
HEAD = b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"


def run_with_answer(data, is_reset=False):
    """Run one attempt at an endpoint that sends `data` and closes the connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer():
        connection, _ = listener.accept()
        with listener, connection:
            connection.recv(65536)
            connection.sendall(data)
            if is_reset:
                time.sleep(RESET_DELAY_S)
                linger = struct.pack("@ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    thread = threading.Thread(target=answer)
    thread.start()
    clock, sink = SystemClock(), CollectingSink()
    try:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        EndpointTransport(clock).run(address, make_request(clock), sink)
    finally:
        thread.join()
    return sink


BODIES = {
    "length": HEAD + b"abc",
    "chunked": CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
    "chunked with a trailer": CHUNKED + b"3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n",
}
CUTS = [
    (name, length)
    for name, data in BODIES.items()
    for length in range(data.index(b"\r\n\r\n") + 4, len(data))
]


class TestBodyCutShort:
    # An answer that breaks off must not reach the caller as complete.
    @pytest.mark.parametrize(("name", "length"), CUTS)
    def test_is_never_a_complete_answer(self, name, length):
        with pytest.raises(OriolepaddleError) as caught:
            run_with_answer(BODIES[name][:length])
        assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("name", BODIES)
    def test_whole_one_is_an_answer(self, name):
        assert run_with_answer(BODIES[name]).data == b"abc"

    def test_of_unknown_length_that_is_reset_is_truncated(self):
        with pytest.raises(OriolepaddleError):
            run_with_answer(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc", is_reset=True)


class TestHeadCutShort:
    @pytest.mark.parametrize("length", range(1, len(HEAD)))
    def test_is_never_a_complete_answer(self, length):
        with pytest.raises(OriolepaddleError) as caught:
            run_with_answer(HEAD[:length])
        assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("length", [17, 25, len(HEAD) - 1])
    def test_after_an_interim_answer_is_truncated(self, length):
        with pytest.raises(AnswerTruncatedError):
            run_with_answer(INTERIM + HEAD[:length])

    def test_complete_head_is_an_answer(self):
        assert run_with_answer(HEAD + b"abc").data == b"abc"

    def test_answer_may_end_with_its_connection(self):
        sink = run_with_answer(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc")
        assert (sink.status, sink.data) == (200, b"abc")
