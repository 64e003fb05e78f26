"""A simulated region with plain endpoints whose speed varies."""

import random
from collections import Counter

import attrs

from experiments.placement.pace import PaceParameters, VaryingPace, start_slowdowns
from experiments.placement.region import (
    ANNOUNCE_DELAY_S,
    ANNOUNCE_INTERVAL_S,
    NETWORK_DELAY_S,
)
from experiments.placement.slot_endpoint import SlotEndpoint, SlotRun
from experiments.simulation import EventLoop
from oriolepaddle.catalog import (
    CallerLimits,
    Catalog,
    CatalogChange,
    CatalogReading,
    ConfigDocument,
    EndpointService,
    EndpointState,
    RegisteredEndpoint,
)
from oriolepaddle.errors import RefusedError
from oriolepaddle.placement import Choice, Job, Placer
from oriolepaddle.signals import PaceBoard, ReportedLoad

__all__ = ["PlainOutcome", "PlainRegion", "PlainScenario"]

SERVICE = "desk"
DRAIN_S = 10.0


@attrs.frozen
class PlainScenario:
    """The load and the endpoints of one region.

    Attributes:
        rate_per_s: Requests per second in the region.
        costs_s: Costs of a request in seconds at the usual pace, with weights.
        endpoints: Number of endpoints.
        slots: Slots of each.
        instances: Number of instances that place requests.
        target_s: Latest time to the response of a request on time, in seconds.
        pace: How the endpoints' pace varies.
        announce_delay_s: Seconds from an announcement to its arrival.
        lost_from_s: Time from which the announcements of half of the instances are
            lost.
        organisations: Number of organisations with the same load.
    """

    rate_per_s: float = 250.0
    costs_s: tuple[tuple[float, float], ...] = ((0.08, 1.0),)
    endpoints: int = 6
    slots: int = 6
    instances: int = 10
    target_s: float = 0.556
    pace: PaceParameters = PaceParameters()
    announce_delay_s: float = ANNOUNCE_DELAY_S
    lost_from_s: float = float("inf")
    organisations: int = 8


@attrs.define
class PlainOutcome:
    """The outcome of a request.

    Attributes:
        organisation: Number of its organisation.
        arrived_s: When it arrived, in seconds.
        response_s: Time to its response in seconds, or None if it was refused.
    """

    organisation: int
    arrived_s: float
    response_s: float | None = None


class PlainRegion:
    """Runs a scenario with one way to choose endpoints.

    Args:
        scenario: The load and the endpoints.
        variant: "pace", "without" for a placer that does not know the paces,
            "outstanding" for the least outstanding requests of all instances, and "own
            outstanding" for those of the instance itself.
        seed: The seed of the requests.
    """

    def __init__(self, scenario: PlainScenario, variant: str, seed: int) -> None:
        self._scenario = scenario
        self._variant = variant
        self.generator = random.Random(seed)
        pace_generator = random.Random(seed + 1)
        self.loop = EventLoop()
        self.outcomes: list[PlainOutcome] = []
        parameters = scenario.pace
        paces = [
            VaryingPace(
                self.loop,
                pace_generator,
                parameters,
                is_false=parameters.has_false_reports and number == 0,
            )
            for number in range(scenario.endpoints)
        ]
        self.endpoints = {
            f"e{number}": SlotEndpoint(self.loop, scenario.slots, pace)
            for number, pace in enumerate(paces)
        }
        start_slowdowns(self.loop, pace_generator, paces, parameters)
        self.catalog = self._make_catalog()
        self._instances = [
            _Instance(self.loop, self.catalog, variant, number)
            for number in range(scenario.instances)
        ]

    def run(self, duration_s: float) -> list[PlainOutcome]:
        """Generate requests for some seconds, run until they end, return outcomes."""
        self._schedule_next(duration_s)
        self.loop.schedule(0.0, self._announce)
        self.loop.run(duration_s + DRAIN_S)
        return self.outcomes

    def _make_catalog(self) -> Catalog:
        services = {SERVICE: EndpointService(SERVICE)}
        document = ConfigDocument(1, {}, services, None, {}, CallerLimits(), b"")
        changes = [CatalogChange("document", document=document)]
        slots = self._scenario.slots
        for name in self.endpoints:
            endpoint = RegisteredEndpoint(
                name, 1, SERVICE, f"{name}:80", "a", slots, EndpointState.READY
            )
            changes.append(CatalogChange(f"e/{name}", endpoint=endpoint))
        catalog = Catalog(self.loop)
        catalog.apply(CatalogReading(tuple(changes), 1, is_whole=True), 0.0)
        return catalog

    def _schedule_next(self, until_s: float) -> None:
        interval_s = self.generator.expovariate(self._scenario.rate_per_s)
        if self.loop.monotonic_s() + interval_s < until_s:
            self.loop.schedule(interval_s, self._arrive, until_s)

    def _arrive(self, until_s: float) -> None:
        self._schedule_next(until_s)
        generator, scenario = self.generator, self._scenario
        costs, weights = zip(*scenario.costs_s, strict=True)
        cost_s = generator.choices(costs, weights)[0] * generator.uniform(0.8, 1.2)
        organisation = generator.randrange(scenario.organisations)
        outcome = PlainOutcome(organisation, self.loop.monotonic_s())
        self.outcomes.append(outcome)
        generator.choice(self._instances).serve(self, outcome, cost_s)

    def _announce(self) -> None:
        now_s = self.loop.monotonic_s()
        for index, sender in enumerate(self._instances):
            if now_s >= self._scenario.lost_from_s and index % 2:
                continue
            loads = sender.placer.own_loads()
            counts = Counter(sender.running)
            for receiver in self._instances:
                if receiver is not sender:
                    self.loop.schedule(
                        self._scenario.announce_delay_s,
                        receiver.receive,
                        sender,
                        loads,
                        counts,
                    )
        self.loop.schedule(ANNOUNCE_INTERVAL_S, self._announce)


class _Instance:
    """One instance with its placer."""

    def __init__(
        self, loop: EventLoop, catalog: Catalog, variant: str, number: int
    ) -> None:
        self._loop = loop
        self._variant = variant
        self.name = f"n{number}"
        self.running: Counter[str] = Counter()
        self._others: dict[str, Counter[str]] = {}
        self.paces = PaceBoard(loop)
        paces = self.paces if variant == "pace" else None
        self.placer = Placer(
            loop,
            catalog,
            lambda name: True,
            paces=paces,
            generator=random.Random(number),
        )

    def receive(self, sender: "_Instance", loads: dict, running: Counter[str]) -> None:
        """Apply the announcement of another instance."""
        self.placer.apply_peer(sender.name, loads)
        self._others[sender.name] = running

    def serve(self, region: PlainRegion, outcome: PlainOutcome, cost_s: float) -> None:
        """Place a request and send it, unless it is refused."""
        job = Job(SERVICE, max_first_byte_s=5.0)
        try:
            choice = self._choose(region, job)
        except RefusedError:
            return
        placement = self.placer.start(choice, job)
        endpoint = choice.endpoint
        self.running[endpoint.id] += 1

        def _receive(load: ReportedLoad) -> None:
            if self._variant == "pace":
                self.paces.record(endpoint.incarnation, SERVICE, load)
            placement.record_first_byte()
            placement.succeed()
            placement.end()
            self.running[endpoint.id] -= 1
            outcome.response_s = self._loop.monotonic_s() - outcome.arrived_s

        def _end(load: ReportedLoad) -> None:
            self._loop.schedule(NETWORK_DELAY_S, _receive, load)

        run = SlotRun(cost_s, _end)
        self._loop.schedule(NETWORK_DELAY_S, region.endpoints[endpoint.id].submit, run)

    def _choose(self, region: PlainRegion, job: Job) -> Choice:
        choice = self.placer.choose(job)
        if "outstanding" not in self._variant:
            return choice
        counts = self.running.copy()
        if self._variant == "outstanding":
            for others in self._others.values():
                counts.update(others)
        least = min(
            region.endpoints, key=lambda name: (counts[name], region.generator.random())
        )
        return attrs.evolve(choice, endpoint=region.catalog.endpoint(least))
