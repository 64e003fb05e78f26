"""Engines, issuers and a faulty control plane between them."""

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

PLACE = "nordur-a"
EXECUTOR = ThreadPoolExecutor(1)


def endpoint_entry(name, is_fenced=True, number=1, **changes):
    value = Endpoint(name, PLACE, "127.0.0.1:1", ("m",), is_fenced=is_fenced, **changes)
    return Entry(ObjectKind.ENDPOINT, name, number, value, f"{number}")


def placement_entry(endpoint, number, version=None, name=None, **changes):
    version = version or f"v{number}"
    value = Placement(name or f"p-{endpoint}", endpoint, "m", version, **changes)
    return Entry(ObjectKind.PLACEMENT, value.id, number, value, version)


class Engine:
    """An engine that loads at once, or until `finish_load` is called."""

    def __init__(self, is_fenced=True, loads_slowly=False):
        self.is_fenced = is_fenced
        self.loads_slowly = loads_slowly
        self.taken = []
        self.crash()

    def crash(self):
        self.state = EngineState(ticket=0 if self.is_fenced else None)

    def take(self, command):
        if self.is_fenced and command.ticket < self.state.ticket:
            raise EndpointRefusedError("old fencing number")
        self.taken.append(command.ticket)
        loads = self.loads_slowly and self.state.needs_load(command)
        self.state = EngineState(
            command.model,
            command.version,
            command.adapters,
            command.role,
            command.ticket if self.is_fenced else None,
            is_loading=loads or self.state.is_loading,
        )

    def finish_load(self):
        self.state = attrs.evolve(self.state, is_loading=False)


class Control:
    """Engines by endpoint; `faults` tell how the next sends go.

    A fault may be a callable: it runs while the sender sleeps after its last
    check, before the command reaches the engine.
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
        if fault == "sleep before check":
            self.on_sleep()
        recheck()
        if fault == "sleep after check":
            self.on_sleep()
        if fault in ("late", "double"):
            self.delayed.append((endpoint, command))
        if fault in ("lost", "late"):
            raise EndpointTimeoutError("no answer")
        self.engines[endpoint.id].take(command)
        if fault == "answer lost":
            raise EndpointTimeoutError("no answer")

    def deliver_delayed(self):
        while self.delayed:
            endpoint, command = self.delayed.pop(0)
            try:
                self.engines[endpoint.id].take(command)
            except EndpointRefusedError:
                continue


class Instances:
    """The view of one instance: both issuers are listed and reachable."""

    def __init__(self, name):
        self.identity = PeerIdentity(name, 1, PLACE)

    def published(self):
        listed = tuple(Instance(name, PLACE, "", "") for name in ("a", "b"))
        return InstanceList(listed, 1, 0.0)

    def reachable(self):
        return frozenset({"a", "b"})


class Age:
    """A freshness that a test sets."""

    def __init__(self):
        self.seconds = 0.0

    def age_s(self):
        return self.seconds


class Site:
    """A data centre with engines and two issuers, each with its own state."""

    def __init__(self, engines, **limits):
        self.clock = ManualClock()
        self.control = Control(engines)
        self.configs = {name: ConfigState() for name in ("a", "b")}
        self.ages = {name: Age() for name in ("a", "b")}
        self.issuers = {name: self._issuer(name, limits) for name in ("a", "b")}
        for name, engine in engines.items():
            self.publish(endpoint_entry(name, engine.is_fenced))

    def _issuer(self, name, limits):
        return CommandIssuer(
            self.configs[name],
            Instances(name),
            self.control,
            self.ages[name],
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
