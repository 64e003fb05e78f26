"""Instances of one region, each with a placer of its own."""

import random
from datetime import timedelta

import attrs

from experiments.placement.batch_engine import BatchEngine, EngineRun
from experiments.placement.scenario import Kind, Scenario, Variant
from experiments.simulation import EventLoop
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

__all__ = ["Outcome", "Region"]

SERVICE = "engines"
DATA_CENTRE = "a"
ANNOUNCE_S = SHORTEST_INTERVAL_S
"""Between two words of a busy instance on its load."""
WORD_LAG_S = 0.15
"""From an instance to the others: half of the time between their own words, to which
the hub answers, and the way."""
WAY_S = 0.002
DARK_S = 3.0
LEAST_PATIENCE_S = 2.0
"""Callers of a stream wait at least as long for its next event."""


@attrs.define(eq=False)
class Outcome:
    """What became of a request.

    Attributes:
        kind: Its kind.
        size: Its size against the mean of its kind.
        arrived_s: When it came.
        first_s: Seconds to the first event, or None.
        longest_gap_s: The longest pause after that.
        is_refused: Whether it was refused at once.
        is_whole: Whether the answer was whole before the deadline.
    """

    kind: Kind
    size: float
    arrived_s: float
    first_s: float | None = None
    longest_gap_s: float = 0.0
    is_refused: bool = False
    is_whole: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether it was served as its caller wishes."""
        is_soon = self.first_s is not None and self.first_s <= self.kind.target_s
        return self.is_whole and is_soon and self.longest_gap_s <= self.kind.gap_s


class Region:
    """Plays a scenario with a variant of the decisions.

    Args:
        scenario: The load.
        variant: The decisions.
        seed: Draws the requests.
    """

    def __init__(self, scenario: Scenario, variant: Variant, seed: int) -> None:
        self._scenario = scenario
        self._variant = variant
        self._generator = random.Random(seed)
        self.loop = EventLoop()
        self.engines: dict[str, BatchEngine] = {}
        self.outcomes: list[Outcome] = []
        catalog = self._make_catalog()
        self._placers = {
            f"n{number}": Placer(
                self.loop, catalog, lambda name: True, weights=variant.weights
            )
            for number in range(scenario.instances)
        }

    @property
    def fetches(self) -> bool:
        """Whether engines fetch the beginnings of prompts."""
        return self._variant.has_fetching

    def play(self, duration_s: float) -> list[Outcome]:
        """Play so many seconds of requests and let them end."""
        for kind in self._scenario.kinds:
            self._schedule_next(kind, duration_s)
        self.loop.schedule(0.0, self._announce)
        if self._scenario.dark:
            self.loop.schedule(duration_s / 2, self._go_dark)
        self.loop.run(duration_s + max(k.deadline_s for k in self._scenario.kinds))
        return self.outcomes

    def _make_catalog(self) -> Catalog:
        figures = self._scenario.figures
        profile = EngineProfile(figures.slots, figures.cache_tokens)
        services = {SERVICE: EndpointService(SERVICE, engine=profile)}
        document = ConfigDocument(1, {}, services, {}, CallerLimits(), b"")
        changes = [CatalogChange("document", document=document)]
        for number, speed in enumerate(self._scenario.engines):
            name = f"e{number}"
            self.engines[name] = BatchEngine(self.loop, figures, speed)
            endpoint = RegisteredEndpoint(
                name, 1, SERVICE, f"{name}:80", DATA_CENTRE, 1, EndpointState.READY
            )
            changes.append(CatalogChange(f"e/{name}", endpoint=endpoint))
        catalog = Catalog(self.loop)
        catalog.apply(CatalogReading(tuple(changes), 1, is_whole=True), 0.0)
        return catalog

    def _schedule_next(self, kind: Kind, until_s: float) -> None:
        pause_s = self._generator.expovariate(kind.rate_per_s)
        if self.loop.monotonic_s() + pause_s < until_s:
            self.loop.schedule(pause_s, self._arrive, kind, until_s)

    def _arrive(self, kind: Kind, until_s: float) -> None:
        self._schedule_next(kind, until_s)
        draw = self._generator
        subject = draw.randrange(kind.subjects)
        own = 1 + int(draw.expovariate(1 / kind.own_tokens))
        output = 1 + int(kind.output_tokens * draw.lognormvariate(-0.2, 0.63))
        parts = (
            PromptPart(f"{kind.name}/{subject % 4}", kind.shared_tokens[0]),
            PromptPart(f"{kind.name}/subject/{subject}", kind.shared_tokens[1]),
            PromptPart(f"{kind.name}/own/{len(self.outcomes)}", own),
        )
        tokens = sum(part.tokens for part in parts)
        mean = sum(kind.shared_tokens) + kind.own_tokens + 10 * kind.output_tokens
        job = Job(SERVICE, parts, tokens, output, kind.target_s)
        if self._variant.has_urgency:
            target = timedelta(seconds=kind.target_s)
            job = attrs.evolve(job, urgency=find_urgency(tokens, target))
        size = 0.3 + 0.7 * (tokens + 10 * output) / mean
        outcome = Outcome(kind, size, self.loop.monotonic_s())
        self.outcomes.append(outcome)
        placer = self._placers[draw.choice(list(self._placers))]
        _Exchange(self, placer, job, outcome).start()

    def _announce(self) -> None:
        for name, placer in self._placers.items():
            loads = placer.own_loads()
            if not self._variant.has_telling:
                loads = {
                    endpoint: attrs.evolve(load, sent_parts=())
                    for endpoint, load in loads.items()
                }
            for other, receiver in self._placers.items():
                if other != name:
                    self.loop.schedule(WORD_LAG_S, receiver.apply_peer, name, loads)
        self.loop.schedule(ANNOUNCE_S, self._announce)

    def _go_dark(self) -> None:
        for name in list(self.engines)[: self._scenario.dark]:
            self.engines[name].is_dark = True
            self.loop.schedule(DARK_S, self.engines[name].wake)


class _Exchange:
    """One request from its placing to its end."""

    def __init__(
        self, region: Region, placer: Placer, job: Job, outcome: Outcome
    ) -> None:
        self._region = region
        self._placer = placer
        self._job = job
        self._outcome = outcome
        self._events = 0
        self._heard_s = region.loop.monotonic_s()
        self._is_over = False

    def start(self) -> None:
        """Place the request, and send it unless it is refused."""
        loop = self._region.loop
        try:
            choice = self._placer.choose(self._job)
        except RefusedError:
            self._outcome.is_refused = True
            return
        self._placed = self._placer.start(choice, self._job)
        self._engine = self._region.engines[choice.endpoint.id]
        source = choice.prefix_source if self._region.fetches else None
        self._run = EngineRun(
            self._job,
            self._on_event,
            self._on_end,
            self._region.engines[source.id] if source else None,
        )
        loop.schedule(WAY_S, self._engine.submit, self._run)
        loop.schedule(self._outcome.kind.deadline_s, self._leave)
        self._watch()

    def _watch(self) -> None:
        kind = self._outcome.kind
        patience_s = max(LEAST_PATIENCE_S, 4 * kind.target_s, 8 * kind.gap_s)
        if self._is_over:
            return
        if self._region.loop.monotonic_s() - self._heard_s >= patience_s:
            self._leave()
            return
        self._region.loop.schedule(0.25, self._watch)

    def _on_event(self) -> None:
        now_s = self._region.loop.monotonic_s()
        self._placed.record_activity()
        if self._events == 0:
            self._placed.record_first_byte()
            self._outcome.first_s = now_s - self._outcome.arrived_s
        else:
            gap_s = now_s - self._heard_s
            self._outcome.longest_gap_s = max(gap_s, self._outcome.longest_gap_s)
        self._events += 1
        self._heard_s = now_s

    def _on_end(self) -> None:
        if not self._is_over:
            self._outcome.is_whole = True
            self._placed.succeed()
            self._end()

    def _leave(self) -> None:
        if not self._is_over:
            self._engine.cancel(self._run)
            self._end()

    def _end(self) -> None:
        self._is_over = True
        self._placed.end()
