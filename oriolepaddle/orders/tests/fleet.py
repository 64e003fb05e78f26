"""A fleet of real registries, handlers and forwarders over a faulty network."""

import itertools
from collections import Counter
from datetime import timedelta

from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import deserialize, serialize

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import (
    EndpointFailedError,
    EndpointRefusedError,
    ErrorCode,
    OriolepaddleError,
    Outcome,
    PeerTimeoutError,
    PeerUnavailableError,
    RefusedError,
)
from oriolepaddle.orders import (
    OrderAnswer,
    OrderArchive,
    OrderForwarder,
    OrderHandler,
    OrderHandover,
    OrderLimits,
    OrderNumberCodec,
    OrderRegistry,
    OrderRequest,
)
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

LIFETIME = timedelta(minutes=10)
REQUEST_TIMEOUT_S = 30.0
NODES = ("a", "b", "c")


class SteppingClock(ManualClock):
    """A manual clock; `wait` advances it by the timeout if the event is not set."""

    def wait(self, event, timeout):
        if not event.is_set():
            self.advance(timeout)
        return event.is_set()


def copy_struct(struct):
    """Serialize and deserialize a struct, as a peer link does."""
    data = serialize(struct, TCompactProtocolFactory())
    return deserialize(type(struct)(), data, TCompactProtocolFactory())


class PausableExecutor:
    """Runs tasks immediately, or queues them while its process is paused."""

    def __init__(self):
        self.is_paused = False
        self.pending = []

    def submit(self, task, *args):
        self.pending.append((task, args))
        if not self.is_paused:
            self.resume()

    def resume(self):
        self.is_paused = False
        while self.pending:
            task, args = self.pending.pop(0)
            try:
                task(*args)
            except OriolepaddleError:
                continue


class Endpoint:
    """Runs orders and counts the runs of each; `behaviours` script the next runs."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.behaviours = []
        self.runs = Counter()
        self.request_ids = set()

    def run(self, node, number, request, recheck):
        behaviour = self.behaviours.pop(0) if self.behaviours else "answer"
        if behaviour == "sleep":
            self.fleet.clock.advance(timedelta(seconds=REQUEST_TIMEOUT_S + 1))
        recheck()
        if behaviour == "refuse":
            raise EndpointRefusedError("busy")
        if behaviour == "crash before the run":
            raise EndpointFailedError("broke")
        self.runs[number] += 1
        self.request_ids.add(request.request_id)
        if behaviour == "crash after the run":
            raise EndpointFailedError("broke")
        if behaviour == "restart issuer":
            self.fleet.restart(node.identity.instance)
        return OrderAnswer(201, (), number.encode(), request.request_id)


class Node:
    """One process, whose view contains the whole fleet."""

    def __init__(self, fleet, instance, incarnation):
        self.fleet = fleet
        self.identity = PeerIdentity(instance, incarnation, "lombardia-lodi")
        self.revoked = False
        codec = OrderNumberCodec((b"secret",))
        clock = fleet.clock
        limits = OrderLimits(lifetime=LIFETIME, max_bytes=fleet.max_bytes)
        self.executor = PausableExecutor()
        self.registry = OrderRegistry(
            self.identity, codec, clock, limits, boot_id=incarnation
        )
        self.archive = OrderArchive(clock)
        self.handler = OrderHandler(
            self.registry, self.archive, self, self.executor, clock
        )
        self.forwarder = OrderForwarder(
            self, codec, self, self.archive, clock, lambda request, data_centre: True
        )
        self.handover = OrderHandover(
            self.registry, self.archive, self, self, clock, LIFETIME
        )

    def leave(self):
        return self.handover.leave(timedelta(0), timedelta(minutes=1))

    def published(self):
        instances = [Instance(name, "lombardia-lodi", "", "") for name in NODES]
        return InstanceList(tuple(instances), 1, 0.0)

    def call(self, instance, service, method, request, timeout):
        sender = self.identity.instance
        return self.fleet.deliver(sender, instance, method, request, timeout)

    def check(self, request):
        if self.fleet.is_key_withdrawn:
            raise RefusedError("withdrawn", code=ErrorCode.KEY_WITHDRAWN)

    def run(self, request, recheck):
        number = dict(request.headers)["order"]
        self.fleet.is_key_withdrawn |= self.fleet.withdraw_at_run
        return self.fleet.endpoint.run(self, number, request, recheck)

    def send(self, number, body, request_id):
        request = OrderRequest(
            request_id=request_id,
            organisation="office",
            key_digest="d",
            method="POST",
            path="/services/desk/stays",
            headers=(("order", number),),
            body=body,
            deadline_s=self.fleet.clock.monotonic_s() + REQUEST_TIMEOUT_S,
        )
        if not self.registry.is_own(self.registry.parse(number, "office")):
            return self.forwarder.forward(number, request)

        def run_here():
            return self.run(request, lambda: self.check(request))

        return self.registry.run(number, "office", request.digest(), run_here)


class Fleet:
    """The nodes, the endpoint and the injected faults of the network."""

    def __init__(self, max_bytes=1_000_000):
        self.max_bytes = max_bytes
        self.clock = SteppingClock()
        self.endpoint = Endpoint(self)
        self.incarnations = itertools.count(1)
        self.request_ids = itertools.count(1)
        self.nodes = {}
        self.processes = []
        self.faults = []
        self.cut_links = set()
        self.delayed = []
        self.not_run_ids = set()
        self.is_key_withdrawn = False
        self.withdraw_at_run = False
        for name in NODES:
            self.restart(name)

    def restart(self, name):
        """Replace a process; the old one may still run, unreachable."""
        self.nodes[name] = Node(self, name, next(self.incarnations))
        self.processes.append(self.nodes[name])

    def deliver(self, sender, instance, method, request, timeout):
        """Deliver a request and return the reply, or inject the next fault.

        "cut" fails before sending, "lose request" and "lose reply" time out. "delay"
        times out and "double" replies as usual; both leave a copy of the request for
        `deliver_delayed`.
        """
        node = self.nodes[instance]
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "cut" or frozenset((sender, instance)) in self.cut_links:
            raise PeerUnavailableError("cut")
        copy = copy_struct(request)
        if fault in ("delay", "double"):
            self.delayed.append((instance, method, copy))
        if fault in ("lose request", "delay"):
            self.clock.advance(timeout)
            raise PeerTimeoutError("lost")
        reply = copy_struct(getattr(node.handler, method)(copy))
        # The reply is also lost if the instance was restarted during the call.
        if fault == "lose reply" or self.nodes[instance] is not node:
            self.clock.advance(timeout)
            raise PeerTimeoutError("lost")
        return reply

    def deliver_delayed(self):
        while self.delayed:
            instance, method, request = self.delayed.pop(0)
            getattr(self.nodes[instance].handler, method)(request)

    def send(self, via, number, body=b"one", faults=(), behaviours=()):
        """Send as a caller does; return "answer" or the error's outcome."""
        self.faults, self.endpoint.behaviours = list(faults), list(behaviours)
        request_id = f"r{next(self.request_ids)}"
        try:
            answer = self.nodes[via].send(number, body, request_id)
        except OriolepaddleError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.not_run_ids.add(request_id)
            return error.outcome
        finally:
            self.faults, self.endpoint.behaviours = [], []
        assert answer.body == number.encode()
        return "answer"

    def check(self):
        """Check that no order ran twice, and that none reported as not run did run."""
        assert all(runs == 1 for runs in self.endpoint.runs.values())
        assert not self.not_run_ids & self.endpoint.request_ids
