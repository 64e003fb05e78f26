from concurrent.futures import ThreadPoolExecutor

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.errors import ErrorCode, OrderError
from oriolepaddle.orders import (
    ORDERS_SERVICE,
    OrderArchive,
    OrderForwarder,
    OrderHandler,
    OrderNumberCodec,
    OrderRegistry,
    OrderRequest,
)
from oriolepaddle.orders.tests.fleet import Endpoint
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer

SECRET = b"secret"
ISSUER = PeerIdentity("a", 1, "lombardia-lodi")


class Desk:
    """A view, addresses and a runner for one link on loopback."""

    identity = PeerIdentity("b", 1, "emilia-parma")

    def __init__(self):
        self.port = 0
        self.endpoint = Endpoint(None)

    def peer_address(self, instance):
        return f"127.0.0.1:{self.port}" if instance == "a" else None

    def published(self):
        return None

    def check(self, request):
        pass

    def run(self, request, recheck):
        return self.endpoint.run(None, "n", request, recheck)


@pytest.fixture
def desk():
    desk = Desk()
    clock, codec = SystemClock(), OrderNumberCodec((SECRET,))
    desk.registry = OrderRegistry(ISSUER, codec, clock)
    with ThreadPoolExecutor(2) as executor:
        archive = OrderArchive(clock)
        handler = OrderHandler(desk.registry, archive, desk, executor, clock)
        server = PeerServer("127.0.0.1", 0, ISSUER, SECRET, {ORDERS_SERVICE: handler})
        server.start()
        desk.port = server.port
        pool = PeerPool(desk.identity, SECRET, desk)
        desk.forwarder = OrderForwarder(
            pool, codec, desk, archive, clock, lambda request, place: True
        )
        yield desk
        pool.close()
        server.close()


class TestOrdersOverALink:
    def test_forwards_and_repeats(self, desk):
        number = desk.registry.issue("office")
        request = OrderRequest(
            request_id="r1",
            organisation="office",
            key_digest="d",
            method="POST",
            path="/services/desk/stays",
            headers=(("content-type", "text/plain"),),
            body=b"\x00" * 1_000_000,
            deadline_s=SystemClock().monotonic_s() + 60,
        )
        answers = [desk.forwarder.forward(number, request) for _ in range(2)]
        assert answers[0] == answers[1]
        assert desk.endpoint.runs["n"] == 1
        desk.registry.begin_drain()
        other = OrderRegistry(
            PeerIdentity("a", 0, "x"), OrderNumberCodec((SECRET,)), SystemClock()
        )
        with pytest.raises(OrderError) as caught:
            desk.forwarder.forward(other.issue("office"), request)
        assert caught.value.code is ErrorCode.ORDER_OUTCOME_UNKNOWN
