import contextlib
import socket
import struct

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.peers import PeerServer
from oriolepaddle.peers.gen_py.link import Link
from oriolepaddle.peers.gen_py.link.ttypes import Proof
from oriolepaddle.peers.tests.test_link import (
    ECHO,
    TIMEOUT,
    EchoHandler,
    PeerIdentity,
    make_pool,
)


@pytest.fixture(scope="module")
def server():
    handler = EchoHandler()
    identity = PeerIdentity("b", 1, "lombardia-lodi")
    server = PeerServer("127.0.0.1", 0, identity, b"secret", {ECHO: handler})
    server.handler = handler
    server.start()
    yield server
    server.close()


def send(server, data):
    with socket.create_connection(("127.0.0.1", server.port)) as connection:
        # A server that closes with bytes unread resets the connection.
        with contextlib.suppress(OSError):
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(4096):
                pass


def make_call(service, proof):
    buffer = TMemoryBuffer()
    protocol = TMultiplexedProtocol(TCompactProtocol(buffer), service)
    Link.Client(protocol).send_prove(Proof(proof=proof))
    body = buffer.getvalue()
    return struct.pack("!i", len(body)) + body


class TestMalformedData:
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=60,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(data=st.binary(max_size=200))
    def test_leaves_the_server_serving(self, server, data):
        send(server, data)
        send(server, struct.pack("!i", len(data)) + data)
        pool = make_pool(server)
        pool.call("b", ECHO, "prove", Proof(proof=b"x"), TIMEOUT)
        pool.close()

    def test_call_before_authentication_reaches_no_handler(self, server):
        server.handler.proofs.clear()
        send(server, make_call("echo", b"early"))
        assert server.handler.proofs == []

    def test_huge_frame_is_refused(self, server):
        send(server, struct.pack("!i", 2**31 - 1) + b"x" * 100)
