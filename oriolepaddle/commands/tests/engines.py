"""Fake engines, issuers, and a control with injected faults between them."""

import random
from concurrent.futures import ThreadPoolExecutor

import attrs

from oriolepaddle.clock import ManualClock
from oriolepaddle.commands import CommandIssuer, CommandLimits, EngineState
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import Endpoint, ObjectKind, Placement
from oriolepaddle.errors import (
    EndpointRefusedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

DATA_CENTRE = "nordur-a"
EXECUTOR = ThreadPoolExecutor(1)


def endpoint_entry(name, is_fenced=True, number=1, **changes):
    value = Endpoint(
        name, DATA_CENTRE, "127.0.0.1:1", ("m",), is_fenced=is_fenced, **changes
    )
    return Entry(ObjectKind.ENDPOINT, name, number, value, f"{number}")


def placement_entry(endpoint, number, version=None, name=None, **changes):
    version = version or f"v{number}"
    value = Placement(name or f"p-{endpoint}", endpoint, "m", version, **changes)
    return Entry(ObjectKind.PLACEMENT, value.id, number, value, version)


class Engine:
    """A fake engine that loads immediately, or until `finish_load` is called."""

    def __init__(self, is_fenced=True, loads_slowly=False):
        self.is_fenced = is_fenced
        self.loads_slowly = loads_slowly
        self.accepted_tickets = []
        self.crash()

    def crash(self):
        self.state = EngineState(ticket=0 if self.is_fenced else None)

    def accept(self, command):
        if self.is_fenced and command.ticket < self.state.ticket:
            raise EndpointRefusedError("the engine accepted a newer fencing number")
        self.accepted_tickets.append(command.ticket)
        starts_load = self.loads_slowly and self.state.needs_load(command)
        self.state = EngineState(
            command.model,
            command.version,
            command.adapters,
            command.role,
            command.ticket if self.is_fenced else None,
            is_loading=starts_load or self.state.is_loading,
        )

    def finish_load(self):
        self.state = attrs.evolve(self.state, is_loading=False)


class FakeControl:
    """An `EngineControl` over fake engines; `faults` lists the next sends' faults.

    For the two suspend faults, `on_suspend` is called while the sender is
    suspended before or after its last check of the command.
    """

    def __init__(self, engines):
        self.engines = engines
        self.faults = []
        self.delayed = []

    def state(self, endpoint):
        if endpoint.id not in self.engines:
            raise EndpointUnreachableError("no engine")
        return self.engines[endpoint.id].state

    def apply(self, endpoint, command, recheck):
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "suspend before check":
            self.on_suspend()
        recheck()
        if fault == "suspend after check":
            self.on_suspend()
        if fault in ("late", "double"):
            self.delayed.append((endpoint, command))
        if fault in ("lost", "late"):
            raise EndpointTimeoutError("no answer")
        self.engines[endpoint.id].accept(command)
        if fault == "reply lost":
            raise EndpointTimeoutError("no answer")

    def deliver_delayed(self):
        while self.delayed:
            endpoint, command = self.delayed.pop(0)
            try:
                self.engines[endpoint.id].accept(command)
            except EndpointRefusedError:
                continue


class FakeView:
    """The membership view of one instance: both issuers are listed and reachable."""

    def __init__(self, name):
        self.identity = PeerIdentity(name, 1, DATA_CENTRE)

    def published(self):
        instances = tuple(Instance(name, DATA_CENTRE, "", "") for name in ("a", "b"))
        return InstanceList(instances, 1, 0.0)

    def reachable(self):
        return frozenset({"a", "b"})


class FakeFreshness:
    """A `Freshness` with an age that the test sets."""

    def __init__(self):
        self.seconds = 0.0

    def age_s(self):
        return self.seconds


class DataCentre:
    """Engines and two issuers, each with its own configuration and freshness."""

    def __init__(self, engines, **limits):
        self.clock = ManualClock()
        self.control = FakeControl(engines)
        self.configs = {name: ConfigState() for name in ("a", "b")}
        self.freshness = {name: FakeFreshness() for name in ("a", "b")}
        self.issuers = {name: self._issuer(name, limits) for name in ("a", "b")}
        for name, engine in engines.items():
            self.publish(endpoint_entry(name, engine.is_fenced))

    def _issuer(self, name, limits):
        return CommandIssuer(
            self.configs[name],
            FakeView(name),
            self.control,
            self.freshness[name],
            self.clock,
            random.Random(1),
            EXECUTOR,
            CommandLimits(**limits),
        )

    def publish(self, *entries, to=("a", "b")):
        for name in to:
            self.configs[name].merge(entries)

    def reconcile(self, name):
        return [str(result.outcome) for result in self.issuers[name].reconcile()]
