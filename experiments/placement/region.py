"""A simulated region: instances with their own placers, and shared engines."""

import random
from datetime import timedelta
from functools import partial

import attrs

from experiments.placement.batch_engine import BatchEngine, EngineRun
from experiments.placement.pace import VaryingPace, start_slowdowns
from experiments.placement.scenario import RequestKind, Scenario, Variant
from experiments.placement.turn import Turn
from experiments.simulation import EventLoop
from oriolepaddle.admission import EdgeQueue
from oriolepaddle.catalog import (
    CallerLimits,
    Catalog,
    CatalogChange,
    CatalogReading,
    ConfigDocument,
    EndpointService,
    EndpointState,
    EngineProfile,
    RegisteredEndpoint,
)
from oriolepaddle.errors import RefusedError
from oriolepaddle.gossip.announcer import SHORTEST_INTERVAL_S
from oriolepaddle.placement import Job, Placer, PromptPart, find_urgency
from oriolepaddle.signals import PaceBoard, ReportedLoad

__all__ = ["Outcome", "Region"]

SERVICE = "engines"
DATA_CENTRE = "a"
ANNOUNCE_INTERVAL_S = SHORTEST_INTERVAL_S
"""Seconds between two load announcements of a busy instance."""
ANNOUNCE_DELAY_S = 0.15
"""Seconds from an announcement to its arrival at the other instances.

The hub forwards loads in its replies to the others' own announcements: half of the
interval between those, plus the network delay.
"""
NETWORK_DELAY_S = 0.002
OUTAGE_S = 3.0
SLOW_AT_ONCE = 3
MIN_IDLE_TIMEOUT_S = 2.0
"""Shortest time for which a caller waits for the next event of a stream, in seconds."""


@attrs.define(eq=False)
class Outcome:
    """The outcome of a request.

    Attributes:
        kind: The kind of request.
        size: The cost of the request, relative to the mean of its kind.
        arrived_s: When the request arrived, in seconds.
        first_event_s: Time to the first event in seconds, or None.
        longest_gap_s: The longest pause between two events, in seconds.
        is_refused: Whether the placer or the queue refused the request.
        waited_s: How long it waited at the instance, in seconds.
        is_complete: Whether the answer was complete before the deadline.
    """

    kind: RequestKind
    size: float
    arrived_s: float
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    is_refused: bool = False
    waited_s: float = 0.0
    is_complete: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether the answer was complete and met both latency targets."""
        is_first_on_time = (
            self.first_event_s is not None and self.first_event_s <= self.kind.target_s
        )
        return (
            self.is_complete
            and is_first_on_time
            and self.longest_gap_s <= self.kind.max_gap_s
        )


class Region:
    """Runs a scenario with a variant of the placement.

    Args:
        scenario: The load and the engines.
        variant: The configuration of the placers.
        seed: The seed of the requests.
    """

    def __init__(self, scenario: Scenario, variant: Variant, seed: int) -> None:
        self._scenario = scenario
        self._variant = variant
        self._generator = random.Random(seed)
        self.loop = EventLoop()
        self.engines: dict[str, BatchEngine] = {}
        self.outcomes: list[Outcome] = []
        catalog = self._make_catalog()
        self._boards = [PaceBoard(self.loop) for _ in range(scenario.instances)]
        self._placers = {
            f"n{number}": Placer(
                self.loop,
                catalog,
                lambda name: True,
                weights=variant.weights,
                paces=board,
                generator=random.Random(number),
            )
            for number, board in enumerate(self._boards)
        }
        self._queues = {
            name: EdgeQueue(self.loop, self._generator.random) for name in self._placers
        }
        self._paces: dict[str, VaryingPace] = {}
        if scenario.pace is not None:
            self._vary_paces(random.Random(seed + 1))

    @property
    def fetches_prefixes(self) -> bool:
        """Whether engines fetch cached prefixes from other engines."""
        return self._variant.fetches_prefixes

    def report(self, placer: Placer, endpoint: RegisteredEndpoint) -> None:
        """Record the load in a response at the instance that has the placer."""
        pace = self._paces.get(endpoint.id)
        if pace is None or not self._variant.knows_paces:
            return
        index = list(self._placers.values()).index(placer)
        load = ReportedLoad(0, 0, self._scenario.parameters.slots, pace.read())
        self._boards[index].record(endpoint.incarnation, SERVICE, load)

    def _vary_paces(self, generator: random.Random) -> None:
        for name, engine in self.engines.items():
            pace = VaryingPace(self.loop, generator, self._scenario.pace)
            self._paces[name] = pace
            pace.on_change = partial(_set_pace, engine, pace)
        groups = list(self._paces.values())
        for first in range(SLOW_AT_ONCE):
            start_slowdowns(
                self.loop, generator, groups[first::SLOW_AT_ONCE], self._scenario.pace
            )

    def run(self, duration_s: float) -> list[Outcome]:
        """Generate requests for some seconds, run until they end, return outcomes."""
        for kind in self._scenario.kinds:
            self._schedule_next(kind, duration_s)
        self.loop.schedule(0.0, self._announce)
        if self._scenario.unresponsive_engines:
            self.loop.schedule(duration_s / 2, self._stop_engines)
        self.loop.run(duration_s + max(k.deadline_s for k in self._scenario.kinds))
        return self.outcomes

    def _make_catalog(self) -> Catalog:
        parameters = self._scenario.parameters
        profile = EngineProfile(parameters.slots, parameters.cache_tokens)
        services = {SERVICE: EndpointService(SERVICE, engine=profile)}
        document = ConfigDocument(1, {}, services, None, {}, CallerLimits(), b"")
        changes = [CatalogChange("document", document=document)]
        for number, speed in enumerate(self._scenario.engines):
            name = f"e{number}"
            self.engines[name] = BatchEngine(self.loop, parameters, speed)
            endpoint = RegisteredEndpoint(
                name, 1, SERVICE, f"{name}:80", DATA_CENTRE, 1, EndpointState.READY
            )
            changes.append(CatalogChange(f"e/{name}", endpoint=endpoint))
        catalog = Catalog(self.loop)
        catalog.apply(CatalogReading(tuple(changes), 1, is_whole=True), 0.0)
        return catalog

    def _schedule_next(self, kind: RequestKind, until_s: float) -> None:
        interval_s = self._generator.expovariate(kind.rate_per_s)
        if self.loop.monotonic_s() + interval_s < until_s:
            self.loop.schedule(interval_s, self._arrive, kind, until_s)

    def _arrive(self, kind: RequestKind, until_s: float) -> None:
        self._schedule_next(kind, until_s)
        generator = self._generator
        subject = generator.randrange(kind.subjects)
        own_tokens = 1 + int(generator.expovariate(1 / kind.own_tokens))
        output_tokens = 1 + int(
            kind.output_tokens * generator.lognormvariate(-0.2, 0.63)
        )
        parts = (
            PromptPart(f"{kind.name}/{subject % 4}", kind.shared_tokens[0]),
            PromptPart(f"{kind.name}/subject/{subject}", kind.shared_tokens[1]),
            PromptPart(f"{kind.name}/own/{len(self.outcomes)}", own_tokens),
        )
        prompt_tokens = sum(part.tokens for part in parts)
        mean_cost = sum(kind.shared_tokens) + kind.own_tokens + 10 * kind.output_tokens
        job = Job(SERVICE, parts, prompt_tokens, output_tokens, kind.target_s)
        if self._variant.uses_urgency:
            target = timedelta(seconds=kind.target_s)
            job = attrs.evolve(job, urgency=find_urgency(prompt_tokens, target))
        size = 0.3 + 0.7 * (prompt_tokens + 10 * output_tokens) / mean_cost
        outcome = Outcome(kind, size, self.loop.monotonic_s())
        self.outcomes.append(outcome)
        name = generator.choice(list(self._placers))
        exchange = _Exchange(self, self._placers[name], job, outcome)
        if self._variant.uses_queue:
            Turn(self.loop, self._queues[name], SERVICE, exchange).start()
        else:
            exchange.start()

    def _announce(self) -> None:
        for name, placer in self._placers.items():
            loads = placer.own_loads()
            if not self._variant.announces_prefixes:
                loads = {
                    endpoint: attrs.evolve(load, sent_parts=())
                    for endpoint, load in loads.items()
                }
            for other, receiver in self._placers.items():
                if other != name:
                    self.loop.schedule(
                        ANNOUNCE_DELAY_S, receiver.apply_peer, name, loads
                    )
        self.loop.schedule(ANNOUNCE_INTERVAL_S, self._announce)

    def _stop_engines(self) -> None:
        for name in list(self.engines)[: self._scenario.unresponsive_engines]:
            self.engines[name].is_unresponsive = True
            self.loop.schedule(OUTAGE_S, self.engines[name].restart)


def _set_pace(engine: BatchEngine, pace: VaryingPace) -> None:
    engine.pace_factor = pace.factor


class _Exchange:
    """One request, from its placement to its end."""

    def __init__(
        self, region: Region, placer: Placer, job: Job, outcome: Outcome
    ) -> None:
        self._region = region
        self.placer = placer
        self.job = job
        self.outcome = outcome
        self._event_count = 0
        self._last_event_s = region.loop.monotonic_s()
        self._is_over = False

    def start(self) -> None:
        """Place the request and send it, unless the placer refuses it."""
        loop = self._region.loop
        try:
            choice = self.placer.choose(self.job)
        except RefusedError:
            self.outcome.is_refused = True
            return
        self._placement = self.placer.start(choice, self.job)
        self._endpoint = choice.endpoint
        self._engine = self._region.engines[choice.endpoint.id]
        source = choice.prefix_source if self._region.fetches_prefixes else None
        self._run = EngineRun(
            self.job,
            self._on_event,
            self._on_end,
            self._region.engines[source.id] if source else None,
        )
        loop.schedule(NETWORK_DELAY_S, self._engine.submit, self._run)
        loop.schedule(self.outcome.kind.deadline_s, self._cancel)
        self._check_idle_timeout()

    def _check_idle_timeout(self) -> None:
        kind = self.outcome.kind
        idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, 4 * kind.target_s, 8 * kind.max_gap_s)
        if self._is_over:
            return
        if self._region.loop.monotonic_s() - self._last_event_s >= idle_timeout_s:
            self._cancel()
            return
        self._region.loop.schedule(0.25, self._check_idle_timeout)

    def _on_event(self) -> None:
        now_s = self._region.loop.monotonic_s()
        self._placement.record_activity()
        if self._event_count == 0:
            self._region.report(self.placer, self._endpoint)
            self._placement.record_first_byte()
            self.outcome.first_event_s = now_s - self.outcome.arrived_s
        else:
            gap_s = now_s - self._last_event_s
            self.outcome.longest_gap_s = max(gap_s, self.outcome.longest_gap_s)
        self._event_count += 1
        self._last_event_s = now_s

    def _on_end(self) -> None:
        if not self._is_over:
            self.outcome.is_complete = True
            self._placement.succeed()
            self._end()

    def _cancel(self) -> None:
        if not self._is_over:
            self._engine.cancel(self._run)
            self._end()

    def _end(self) -> None:
        self._is_over = True
        self._placement.end()
