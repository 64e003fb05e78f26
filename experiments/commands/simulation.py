"""Simulation of a data centre whose engines all need a load, and its issuers."""

import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import attrs

from oriolepaddle.clock import ManualClock
from oriolepaddle.commands import (
    CommandIssuer,
    CommandLimits,
    EngineCommand,
    EngineState,
)
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import Endpoint, ObjectKind, Placement
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

__all__ = ["SimulationResult", "simulate"]

DATA_CENTRE = "dc-1"
TICK_PERIOD = timedelta(seconds=1)
MAX_TICKS = 20_000


@attrs.frozen
class SimulationResult:
    """Result of one simulation.

    Attributes:
        peak_loads: Maximum number of engines that loaded concurrently.
        finished_s: Seconds until all engines had loaded.
        commands: Commands that engines accepted.
        reads_per_s: Engine states that each instance read a second.
    """

    peak_loads: int
    finished_s: float
    commands: int
    reads_per_s: float


class _Engines:
    """Engines that load for a fixed time.

    Issuers read the states as of the start of the tick; only an accepted command
    shows at once.
    """

    def __init__(self, count: int, load: timedelta, clock: ManualClock) -> None:
        self._clock = clock
        self._load_s = load.total_seconds()
        self.states = {f"engine-{i}": EngineState() for i in range(count)}
        self._load_ends_at_s = dict.fromkeys(self.states, 0.0)
        self.reported_states = dict(self.states)
        self.commands = 0
        self.reads = 0

    def state(self, endpoint: Endpoint) -> EngineState:
        """Return an engine's state as of the tick's start."""
        self.reads += 1
        return self.reported_states[endpoint.id]

    def apply(
        self,
        endpoint: Endpoint,
        command: EngineCommand,
        recheck: Callable[[], None],
    ) -> None:
        """Accept a command; the engine starts to load."""
        recheck()
        self.commands += 1
        if self.states[endpoint.id].needs_load(command):
            self._load_ends_at_s[endpoint.id] = self._clock.monotonic_s() + self._load_s
        self.states[endpoint.id] = self.reported_states[endpoint.id] = EngineState(
            command.model,
            command.version,
            command.adapters,
            command.role,
            command.ticket,
            is_loading=True,
        )

    def tick(self) -> None:
        """Finish loads whose time is over and publish the current states."""
        now_s = self._clock.monotonic_s()
        for name, state in self.states.items():
            if state.is_loading and self._load_ends_at_s[name] <= now_s:
                self.states[name] = attrs.evolve(state, is_loading=False)
        self.reported_states = dict(self.states)

    def loading_count(self) -> int:
        """Return the number of engines that are loading."""
        return sum(state.is_loading for state in self.states.values())

    def loaded_count(self) -> int:
        """Return the number of engines that have loaded a model."""
        return sum(
            bool(state.model) and not state.is_loading for state in self.states.values()
        )


@attrs.frozen
class _View:
    identity: PeerIdentity
    instance_list: InstanceList

    def published(self) -> InstanceList:
        """Return the list of all instances."""
        return self.instance_list

    def reachable(self) -> frozenset[str]:
        """Return the ids of all instances."""
        return frozenset(instance.id for instance in self.instance_list.instances)


class _AlwaysFresh:
    def age_s(self) -> float:
        """Return 0: the configuration is always up to date."""
        return 0.0


def simulate(
    engines: int, issuers: int, max_loads: int, load: timedelta, seed: int
) -> SimulationResult:
    """Simulate issuers that bring empty engines to a new placement.

    Args:
        engines: Number of engines in the data centre.
        issuers: Number of instances that reconcile.
        max_loads: Maximum number of concurrent loads.
        load: Duration of a load.
        seed: Seed of the jitter.
    """
    clock = ManualClock()
    fleet = _Engines(engines, load, clock)
    config = _make_config(list(fleet.states))
    names = [f"instance-{i}" for i in range(issuers)]
    instances = tuple(Instance(name, DATA_CENTRE, "", "") for name in names)
    generator = random.Random(seed)
    peak = ticks = 0
    with ThreadPoolExecutor(1) as executor:
        command_issuers = [
            CommandIssuer(
                config,
                _View(
                    PeerIdentity(name, 1, DATA_CENTRE), InstanceList(instances, 1, 0.0)
                ),
                fleet,
                _AlwaysFresh(),
                clock,
                generator,
                executor,
                CommandLimits(max_loads=max_loads),
            )
            for name in names
        ]
        next_pass_at_s = [
            issuer.next_pause().total_seconds() for issuer in command_issuers
        ]
        while fleet.loaded_count() < engines and ticks < MAX_TICKS:
            ticks += 1
            clock.advance(TICK_PERIOD)
            fleet.tick()
            _reconcile_due(command_issuers, next_pass_at_s, clock.monotonic_s())
            peak = max(peak, fleet.loading_count())
    elapsed_s = clock.monotonic_s()
    return SimulationResult(
        peak, elapsed_s, fleet.commands, fleet.reads / elapsed_s / issuers
    )


def _reconcile_due(
    command_issuers: list[CommandIssuer], next_pass_at_s: list[float], now_s: float
) -> None:
    for index, issuer in enumerate(command_issuers):
        if next_pass_at_s[index] <= now_s:
            issuer.reconcile()
            next_pass_at_s[index] = now_s + issuer.next_pause().total_seconds()


def _make_config(engines: list[str]) -> ConfigState:
    config = ConfigState()
    for name in engines:
        endpoint = Endpoint(name, DATA_CENTRE, "127.0.0.1:1", ("model",))
        placement = Placement(f"of-{name}", name, "model", "2")
        config.merge(
            [
                Entry(ObjectKind.ENDPOINT, name, 1, endpoint),
                Entry(ObjectKind.PLACEMENT, placement.id, 2, placement),
            ]
        )
    return config
