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


class LinkPeer:
    """The view, the addresses and the runner for one loopback link."""

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
def sender():
    sender = LinkPeer()
    clock, codec = SystemClock(), OrderNumberCodec((SECRET,))
    sender.registry = OrderRegistry(ISSUER, codec, clock)
    with ThreadPoolExecutor(2) as executor:
        archive = OrderArchive(clock)
        handler = OrderHandler(sender.registry, archive, sender, executor, clock)
        server = PeerServer("127.0.0.1", 0, ISSUER, SECRET, {ORDERS_SERVICE: handler})
        server.start()
        sender.port = server.port
        pool = PeerPool(sender.identity, SECRET, sender)
        sender.forwarder = OrderForwarder(
            pool, codec, sender, archive, clock, lambda request, data_centre: True
        )
        yield sender
        pool.close()
        server.close()


class TestOrdersOverALink:
    def test_order_is_forwarded_and_its_repeat_is_not_run(self, sender):
        number = sender.registry.issue("office")
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
        answers = [sender.forwarder.forward(number, request) for _ in range(2)]
        assert answers[0] == answers[1]
        assert sender.endpoint.runs["n"] == 1
        sender.registry.begin_drain()
        other = OrderRegistry(
            PeerIdentity("a", 0, "x"), OrderNumberCodec((SECRET,)), SystemClock()
        )
        with pytest.raises(OrderError) as caught:
            sender.forwarder.forward(other.issue("office"), request)
        assert caught.value.code is ErrorCode.ORDER_OUTCOME_UNKNOWN
