from datetime import timedelta

import pytest

from oriolepaddle.errors import PeerRejectedError, PeerUnavailableError
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer, PeerService
from oriolepaddle.peers.gen_py.link import Link
from oriolepaddle.peers.gen_py.link.ttypes import Accepted, Proof

TIMEOUT = timedelta(seconds=5)
ECHO = PeerService(name="echo", module=Link)


class EchoHandler:
    def __init__(self):
        self.proofs = []

    def prove(self, request):
        self.proofs.append(request.proof)
        return Accepted()


class FixedAddresses:
    def __init__(self, addresses):
        self.addresses = addresses

    def peer_address(self, instance):
        return self.addresses.get(instance)


@pytest.fixture
def server():
    handler = EchoHandler()
    identity = PeerIdentity("b", 1, "lombardia-lodi")
    server = PeerServer("127.0.0.1", 0, identity, b"secret", {ECHO: handler})
    server.handler = handler
    server.start()
    yield server
    server.close()


def make_pool(server, secret=b"secret", name="b"):
    addresses = FixedAddresses({name: f"127.0.0.1:{server.port}"})
    return PeerPool(PeerIdentity("a", 1, "emilia-parma"), secret, addresses)


class TestPeerLink:
    def test_several_calls_use_one_link(self, server):
        pool = make_pool(server)
        for number in range(3):
            pool.call("b", ECHO, "prove", Proof(proof=bytes([number])), TIMEOUT)
        pool.close()
        assert server.handler.proofs == [b"\x00", b"\x01", b"\x02"]

    def test_wrong_secret_is_rejected(self, server):
        pool = make_pool(server, secret=b"other")
        with pytest.raises(PeerRejectedError):
            pool.call("b", ECHO, "prove", Proof(proof=b"x"), TIMEOUT)
        assert server.handler.proofs == []

    def test_wrong_instance_is_rejected(self, server):
        pool = make_pool(server, name="c")
        with pytest.raises(PeerRejectedError):
            pool.call("c", ECHO, "prove", Proof(proof=b"x"), TIMEOUT)

    def test_closed_server_is_unavailable(self, server):
        server.close()
        pool = make_pool(server)
        with pytest.raises(PeerUnavailableError):
            pool.call("b", ECHO, "prove", Proof(proof=b"x"), TIMEOUT)
