"""The simulated fleet of one run."""

import random
from collections.abc import Callable

import numpy as np

from experiments.routing.arrival import Arrival
from experiments.routing.exchange import Exchange
from experiments.routing.measures import FIRST_TOKEN_TARGET_S, Measures
from experiments.routing.publisher import Publisher
from experiments.routing.scenario import Scenario
from experiments.routing.workload import (
    CHAT_PROMPT_TOKENS,
    MEAN_OUTPUT_TOKENS,
    REGIONS,
    make_arrivals,
)
from experiments.simulation import Engine, EventLoop
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    ObjectKind,
    Route,
    RouteKind,
)
from oriolepaddle.routing import EndpointPolicy, Router, RoutingRequest

__all__ = ["Fleet"]

ROUTE = Route(id="oriole-answers", kind=RouteKind.MODEL)
ENDPOINTS = {"nordur": 10, "sudur": 8, "austur": 6}
SLOTS = 8
SLOWEST_PREFILL_TOKENS_PER_S = 1000.0
SLOWEST_DECODE_TOKENS_PER_S = 15.0
FASTEST_TO_SLOWEST_RATIO = 10.0
CACHE_TOKENS = 50_000
MAX_SPEED_ERROR_RATIO = 2.0
WAN_DELAY_S = 0.08
DEADLINE_S = 120.0
OUTAGE_S = 30.0
CRASH_S = 10.0


class Fleet:
    """Simulates routers, engines and the messages between them.

    Args:
        scenario: Load and faults.
        make_policy: Creates a router's policy from a source of randomness.
        seed: The seed of all randomness.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[random.Random], EndpointPolicy],
        seed: int,
    ) -> None:
        self.loop = EventLoop()
        self.delay_s = WAN_DELAY_S
        self.measures = Measures()
        self.engines: dict[str, Engine] = {}
        self._scenario = scenario
        self._rng = np.random.default_rng(seed)
        self._random = random.Random(seed)
        self._config = ConfigState()
        self._add_object(ObjectKind.ROUTE, ROUTE)
        for region in REGIONS:
            self._add_region(region)
        self._routers = {
            f"{region}-a": [
                self._make_router(f"{region}-a", make_policy(random.Random(index)))
                for index in range(scenario.instances)
            ]
            for region in REGIONS
        }
        self._publisher = Publisher(
            self.loop, self._random, self.engines, self._routers, scenario, WAN_DELAY_S
        )

    def run(self) -> Measures:
        """Run the scenario and return its measures."""
        rate = self._scenario.load * self._capacity_per_s()
        duration_s = self._scenario.duration_s
        for arrival in make_arrivals(
            self._rng, rate, duration_s, self._scenario.is_steady
        ):
            self.loop.schedule(arrival.time_s, self._arrive, arrival)
        self._publisher.start()
        self._schedule_faults()
        self.loop.run(self._scenario.warm_up_s)
        before = self._sum_engine_costs()
        self.loop.run(duration_s)
        after = self._sum_engine_costs()
        self.loop.run(duration_s + DEADLINE_S)
        self.measures.busy_s = after[0] - before[0]
        self.measures.computed_tokens = after[1] - before[1]
        return self.measures

    def _capacity_per_s(self) -> float:
        # The highest rate that all slots can serve, with every shared prefix cached.
        return sum(
            engine.endpoint.slots
            / (
                CHAT_PROMPT_TOKENS / engine.endpoint.prefill_tokens_per_s
                + MEAN_OUTPUT_TOKENS / engine.endpoint.decode_tokens_per_s
            )
            for engine in self.engines.values()
        )

    def pick_router(self, data_centre: str) -> Router:
        """Return the router of a random instance."""
        return self._random.choice(self._routers[data_centre])

    def record_served(self, arrival: Arrival, endpoint: Endpoint) -> None:
        """Record whether a request is sent outside its residency."""
        region = endpoint.data_centre.removesuffix("-a")
        residency = arrival.organisation.residency
        if residency and region not in residency:
            self.measures.outside_residency += 1

    def record_first_token(self, arrival: Arrival, return_delay_s: float) -> None:
        """Record the latency of an answer's first token."""
        if arrival.time_s < self._scenario.warm_up_s:
            return
        latency_s = self.loop.monotonic_s() - arrival.time_s + return_delay_s
        name = arrival.organisation.id
        self.measures.first_token_s.append(latency_s)
        if arrival.organisation.residency:
            self.measures.residency_first_token_s.setdefault(arrival.region, []).append(
                latency_s
            )
        if latency_s <= FIRST_TOKEN_TARGET_S:
            self.measures.in_time[name] = self.measures.in_time.get(name, 0) + 1

    def record_refusal(self, arrival: Arrival, code: str) -> None:
        """Record a refused request."""
        if arrival.time_s >= self._scenario.warm_up_s:
            self.measures.refused[code] = self.measures.refused.get(code, 0) + 1

    def record_failure(self, arrival: Arrival) -> None:
        """Record a request that failed on every endpoint attempted."""
        self.measures.failed += arrival.time_s >= self._scenario.warm_up_s

    def record_forwarded(self, arrival: Arrival, hops: int) -> None:
        """Record a request that is forwarded to another data centre."""
        self.measures.forwarded += arrival.time_s >= self._scenario.warm_up_s
        self.measures.forwarded_twice += hops > 1

    def _arrive(self, arrival: Arrival) -> None:
        if arrival.time_s >= self._scenario.warm_up_s:
            name = arrival.organisation.id
            self.measures.requests[name] = self.measures.requests.get(name, 0) + 1
        request = RoutingRequest(
            id="",
            route=ROUTE,
            organisation=arrival.organisation,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_limit,
            prefix_hashes=arrival.prefix_hashes,
            deadline_s=arrival.time_s + DEADLINE_S,
        )
        Exchange(self, arrival, request).start()

    def _sum_engine_costs(self) -> tuple[float, float]:
        engines = self.engines.values()
        return (
            sum(engine.busy_s for engine in engines),
            sum(engine.computed_tokens for engine in engines),
        )

    def _add_object(self, kind: ObjectKind, value: object) -> None:
        self._config.merge([Entry(kind, value.id, 1, value)])

    def _add_region(self, region: str) -> None:
        data_centre = f"{region}-a"
        self._add_object(ObjectKind.DATA_CENTRE, DataCentre(data_centre, region))
        count = ENDPOINTS[region]
        for index in range(count):
            factor = FASTEST_TO_SLOWEST_RATIO ** (index / (count - 1))
            actual = self._make_endpoint(data_centre, index, factor)
            self.engines[actual.id] = Engine(self.loop, actual)
            speed_error = MAX_SPEED_ERROR_RATIO ** self._rng.uniform(-1, 1)
            published = self._make_endpoint(data_centre, index, factor * speed_error)
            self._add_object(ObjectKind.ENDPOINT, published)

    @staticmethod
    def _make_endpoint(data_centre: str, index: int, factor: float) -> Endpoint:
        return Endpoint(
            id=f"{data_centre}-{index}",
            data_centre=data_centre,
            address="127.0.0.1:1",
            routes=(ROUTE.id,),
            slots=SLOTS,
            prefill_tokens_per_s=SLOWEST_PREFILL_TOKENS_PER_S * factor,
            decode_tokens_per_s=SLOWEST_DECODE_TOKENS_PER_S * factor,
            cache_tokens=CACHE_TOKENS,
        )

    def _make_router(self, data_centre: str, policy: EndpointPolicy) -> Router:
        return Router(
            clock=self.loop,
            config=self._config,
            data_centre=data_centre,
            policy=policy,
            count_instances=lambda: self._scenario.instances,
            delay_s=lambda target: WAN_DELAY_S,
        )

    def _schedule_faults(self) -> None:
        quarter_s = self._scenario.measured_s / 4
        if self._scenario.failed_region is not None:
            prefix = f"{self._scenario.failed_region}-a"
            for name, engine in self.engines.items():
                if name.startswith(prefix):
                    self._schedule_outage(
                        engine, self._scenario.warm_up_s + quarter_s, OUTAGE_S
                    )
        for crash in range(self._scenario.crashes):
            start_s = self._scenario.warm_up_s + (crash + 0.5) * quarter_s
            for region in REGIONS:
                index = ENDPOINTS[region] - 1 - crash
                engine = self.engines[f"{region}-a-{index}"]
                self._schedule_outage(engine, start_s, CRASH_S)

    def _schedule_outage(
        self, engine: Engine, start_s: float, duration_s: float
    ) -> None:
        self.loop.schedule(start_s, engine.crash)
        self.loop.schedule(start_s + duration_s, engine.recover)
