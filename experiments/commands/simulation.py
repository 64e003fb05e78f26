"""A data centre whose engines all need a load, and its issuers."""

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

PLACE = "dc-1"
TICK = timedelta(seconds=1)
MAX_TICKS = 20_000


@attrs.frozen
class SimulationResult:
    """What one run showed.

    Attributes:
        peak_loads: The most engines that loaded side by side.
        finished_s: Seconds until all engines were in place.
        commands: Commands that engines took.
        reads_per_s: States read a second by each instance.
    """

    peak_loads: int
    finished_s: float
    commands: int
    reads_per_s: float


class _Engines:
    """Engines that load for a fixed time, with states as of the tick's start."""

    def __init__(self, count: int, load: timedelta, clock: ManualClock) -> None:
        self._clock = clock
        self._load_s = load.total_seconds()
        self.states = {f"engine-{i}": EngineState() for i in range(count)}
        self._until_s = dict.fromkeys(self.states, 0.0)
        self.seen = dict(self.states)
        self.commands = 0
        self.reads = 0

    def state(self, endpoint: Endpoint) -> EngineState:
        """Return an engine's state as of the tick's start."""
        self.reads += 1
        return self.seen[endpoint.id]

    def apply(
        self,
        endpoint: Endpoint,
        command: EngineCommand,
        recheck: Callable[[], None],
    ) -> None:
        """Take a command; the engine loads from now on."""
        recheck()
        self.commands += 1
        if self.states[endpoint.id].needs_load(command):
            self._until_s[endpoint.id] = self._clock.monotonic_s() + self._load_s
        self.states[endpoint.id] = self.seen[endpoint.id] = EngineState(
            command.model,
            command.version,
            command.adapters,
            command.role,
            command.ticket,
            is_loading=True,
        )

    def tick(self) -> None:
        """End the loads that are due and show the states of now."""
        now_s = self._clock.monotonic_s()
        for name, state in self.states.items():
            if state.is_loading and self._until_s[name] <= now_s:
                self.states[name] = attrs.evolve(state, is_loading=False)
        self.seen = dict(self.states)

    def loading(self) -> int:
        """Return how many engines load."""
        return sum(state.is_loading for state in self.states.values())

    def in_place(self) -> int:
        """Return how many engines have loaded."""
        return sum(
            bool(state.model) and not state.is_loading for state in self.states.values()
        )


@attrs.frozen
class _View:
    identity: PeerIdentity
    listed: InstanceList

    def published(self) -> InstanceList:
        """Return all instances."""
        return self.listed

    def reachable(self) -> frozenset[str]:
        """Return all instances."""
        return frozenset(instance.id for instance in self.listed.instances)


class _Fresh:
    def age_s(self) -> float:
        """Return 0: the knowledge is always fresh."""
        return 0.0


def simulate(
    engines: int, issuers: int, max_loads: int, load: timedelta, seed: int
) -> SimulationResult:
    """Bring empty engines to a new placement.

    Args:
        engines: Engines of the data centre.
        issuers: Instances that reconcile.
        max_loads: The bound on loads side by side.
        load: How long a load takes.
        seed: The seed of the jitter.
    """
    clock = ManualClock()
    fleet = _Engines(engines, load, clock)
    config = _make_config(list(fleet.states))
    names = [f"instance-{i}" for i in range(issuers)]
    listed = tuple(Instance(name, PLACE, "", "") for name in names)
    generator = random.Random(seed)
    peak = ticks = 0
    with ThreadPoolExecutor(1) as executor:
        team = [
            CommandIssuer(
                config,
                _View(PeerIdentity(name, 1, PLACE), InstanceList(listed, 1, 0.0)),
                fleet,
                _Fresh(),
                clock,
                generator,
                executor,
                CommandLimits(max_loads=max_loads),
            )
            for name in names
        ]
        due_s = [issuer.next_pause().total_seconds() for issuer in team]
        while fleet.in_place() < engines and ticks < MAX_TICKS:
            ticks += 1
            clock.advance(TICK)
            fleet.tick()
            _reconcile_due(team, due_s, clock.monotonic_s())
            peak = max(peak, fleet.loading())
    elapsed_s = clock.monotonic_s()
    return SimulationResult(
        peak, elapsed_s, fleet.commands, fleet.reads / elapsed_s / issuers
    )


def _reconcile_due(team: list[CommandIssuer], due_s: list[float], now_s: float) -> None:
    for place, issuer in enumerate(team):
        if due_s[place] <= now_s:
            issuer.reconcile()
            due_s[place] = now_s + issuer.next_pause().total_seconds()


def _make_config(engines: list[str]) -> ConfigState:
    config = ConfigState()
    for name in engines:
        endpoint = Endpoint(name, PLACE, "127.0.0.1:1", ("model",))
        placement = Placement(f"of-{name}", name, "model", "2")
        config.merge(
            [
                Entry(ObjectKind.ENDPOINT, name, 1, endpoint),
                Entry(ObjectKind.PLACEMENT, placement.id, 2, placement),
            ]
        )
    return config
