from datetime import timedelta

import pytest

from experiments.limits.fleet import FleetView
from experiments.limits.network import FakeNetwork
from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import DataCentre
from oriolepaddle.limits import LIMITS_SERVICE, SharedTokenLimiter
from oriolepaddle.limits.tests.scenario import ORGANISATION, SETTINGS, make_entry
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer
from oriolepaddle.publication import Instance, InstanceList

SECRET = b"secret"
NAMES = ("a1", "a2")


class Addresses:
    def __init__(self):
        self.ports = {}

    def peer_address(self, instance):
        return f"127.0.0.1:{self.ports[instance]}"


@pytest.fixture
def limiters():
    clock, network, addresses = ManualClock(), FakeNetwork(), Addresses()
    listed = tuple(Instance(name, "a", "", "") for name in NAMES)
    limiters, resources = {}, []
    for name in NAMES:
        identity = PeerIdentity(name, 1, "a")
        config = ConfigState()
        config.merge([make_entry(ORGANISATION), make_entry(DataCentre("a", "a"))])
        view = FleetView(identity, network)
        pool = PeerPool(identity, SECRET, addresses)
        limiter = SharedTokenLimiter(clock, pool, view, config, SETTINGS)
        handlers = {LIMITS_SERVICE: limiter.handler}
        server = PeerServer("127.0.0.1", 0, identity, SECRET, handlers)
        server.start()
        addresses.ports[name] = server.port
        network.handlers[name] = limiter.handler
        limiters[name] = (limiter, view)
        resources += [pool, server]
    for _ in range(20):
        clock.advance(timedelta(seconds=1))
        for limiter, view in limiters.values():
            view.list = InstanceList(listed, 1, clock.monotonic_s())
            limiter.tick()
    yield {name: limiter for name, (limiter, _) in limiters.items()}
    for resource in resources:
        resource.close()


class TestWire:
    def test_claims_and_draws_over_real_links(self, limiters):
        claims = [item.snapshot(ORGANISATION).claim for item in limiters.values()]
        assert claims == [0.5, 0.5]
        limiters["a1"].reserve(ORGANISATION, 800.0).settle(100.0)
        limiters["a1"].prepare_hand_over()
        limiters["a1"].hand_over()
        assert limiters["a1"].snapshot(ORGANISATION).claim == 0
