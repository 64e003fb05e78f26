import random
import threading

from oriolepaddle.clock import SystemClock
from oriolepaddle.config import (
    CONFIGURATION_SERVICE,
    ConfigState,
    ConfigSync,
    PlatformReader,
    Rejections,
    StalenessGuard,
    parse_ticket,
)
from oriolepaddle.config.tests.fleet import Platform, make_ticket
from oriolepaddle.membership import MEMBERSHIP_SERVICE, Membership, MembershipHandler
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer
from oriolepaddle.publication import Instance, InstanceList

WAIT_S = 60


class LateHandler:
    """Passes calls on to a handler that is made after the server."""

    def __init__(self):
        self.handler = None

    def __getattr__(self, name):
        return getattr(self.handler, name)


class ThreadedNode:
    def __init__(self, name, service):
        clock = SystemClock()
        identity = PeerIdentity(name, 1, "a1")
        late = {MEMBERSHIP_SERVICE: LateHandler(), CONFIGURATION_SERVICE: LateHandler()}
        self.server = PeerServer("127.0.0.1", 0, identity, b"secret", late)
        address = f"127.0.0.1:{self.server.port}"
        self.instance = Instance(name, "a1", address, address)
        self.state = ConfigState()
        self.membership = Membership(
            clock,
            identity,
            self.instance,
            None,
            lambda: (self.state.digest, self.state.highest_number),
            lambda data_centre: "a",
            random.Random(1),
        )
        self.pool = PeerPool(identity, b"secret", self.membership)
        self.membership.connect(self.pool)
        rejections, staleness = Rejections(clock), StalenessGuard(clock, None)
        self.sync = ConfigSync(
            clock,
            name,
            self.state,
            self.pool,
            self.membership,
            rejections,
            staleness,
            random.Random(1),
        )
        self.reader = PlatformReader(
            clock,
            service,
            self.sync.platform_target,
            rejections,
            staleness,
            random.Random(1),
        )
        self.sync.set_platform_reader(self.reader)
        late[MEMBERSHIP_SERVICE].handler = MembershipHandler(self.membership)
        late[CONFIGURATION_SERVICE].handler = self.sync.handler

    def start(self):
        for part in (self.server, self.membership, self.sync, self.reader):
            part.start()

    def stop(self):
        for part in (self.reader, self.sync, self.membership):
            part.stop()
        self.pool.close()
        self.server.close()


class TestThreads:
    def test_ticket_spreads_over_real_links(self):
        platform = Platform()
        platform.is_down = True
        nodes = [ThreadedNode(f"a1-{number}", platform) for number in range(3)]
        instances = tuple(node.instance for node in nodes)
        arrived = threading.Semaphore(0)
        for node in nodes:
            node.state.add_listener(lambda changed: arrived.release())
            node.membership.apply_list(InstanceList(instances, 1, 0.0))
            node.start()
        nodes[0].state.merge(parse_ticket(make_ticket(1, ("x", 1))).entries)
        are_told = [arrived.acquire(timeout=WAIT_S) for _ in nodes]
        for node in nodes:
            node.stop()
        assert all(are_told)
        assert all(node.state.organisation("x") for node in nodes)
