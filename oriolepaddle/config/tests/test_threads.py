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

TIMEOUT_S = 60


class DelegatingHandler:
    """Forwards calls to a handler that is created after the server."""

    def __init__(self):
        self.handler = None

    def __getattr__(self, name):
        return getattr(self.handler, name)


class ThreadedInstance:
    def __init__(self, name, service):
        clock = SystemClock()
        identity = PeerIdentity(name, 1, "a1")
        handlers = {
            MEMBERSHIP_SERVICE: DelegatingHandler(),
            CONFIGURATION_SERVICE: DelegatingHandler(),
        }
        self.server = PeerServer("127.0.0.1", 0, identity, b"secret", handlers)
        address = f"127.0.0.1:{self.server.port}"
        self.record = Instance(name, "a1", address, address)
        self.state = ConfigState()
        self.membership = Membership(
            clock,
            identity,
            self.record,
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
        handlers[MEMBERSHIP_SERVICE].handler = MembershipHandler(self.membership)
        handlers[CONFIGURATION_SERVICE].handler = self.sync.handler

    def start(self):
        for component in (self.server, self.membership, self.sync, self.reader):
            component.start()

    def stop(self):
        for component in (self.reader, self.sync, self.membership):
            component.stop()
        self.pool.close()
        self.server.close()


class TestThreads:
    def test_ticket_spreads_over_real_connections(self):
        platform = Platform()
        platform.is_down = True
        instances = [ThreadedInstance(f"a1-{number}", platform) for number in range(3)]
        records = tuple(instance.record for instance in instances)
        arrived = threading.Semaphore(0)
        for instance in instances:
            instance.state.add_listener(lambda changed: arrived.release())
            instance.membership.apply_list(InstanceList(records, 1, 0.0))
            instance.start()
        instances[0].state.merge(parse_ticket(make_ticket(1, ("x", 1))).entries)
        has_arrived = [arrived.acquire(timeout=TIMEOUT_S) for _ in instances]
        for instance in instances:
            instance.stop()
        assert all(has_arrived)
        assert all(instance.state.organisation("x") for instance in instances)
