"""A simulated data centre under load."""

import random

import attrs
import numpy as np

from experiments.admission.discipline import Discipline
from experiments.admission.measures import Measures
from experiments.admission.workload import (
    MEAN_OUTPUT_TOKENS,
    OUTPUT_LIMIT,
    SHARES,
    Demand,
    make_demands,
)
from experiments.simulation import Engine, EventLoop, Job
from oriolepaddle.admission import AdmissionQueue, Waiter
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    ObjectKind,
    Organisation,
    Route,
    RouteKind,
)
from oriolepaddle.errors import RefusedError
from oriolepaddle.routing import LoadReport, Router, RoutingRequest, ShortestTimePolicy

__all__ = ["Bench"]

ROUTE = Route(id="consiglio", kind=RouteKind.MODEL)
DATA_CENTRE = "lombardia-lodi"
INSTANCES = 6
ENDPOINTS = 8
SLOTS = 8
SLOWEST_PREFILL_TOKENS_PER_S = 1000.0
SLOWEST_DECODE_TOKENS_PER_S = 15.0
FASTEST_TO_SLOWEST_RATIO = 10.0
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
WARM_UP_S = 40.0
MEASURED_S = 160.0


@attrs.define(eq=False)
class _Instance:
    router: Router
    queue: AdmissionQueue
    waiting: dict[Waiter, Demand] = attrs.Factory(dict)


class Bench:
    """Simulates instances with admission queues in front of shared engines.

    Args:
        discipline: The queue type and its limits.
        load: The mean load, as a share of the decode capacity of all slots.
        seed: The seed of all randomness.
    """

    def __init__(self, discipline: Discipline, load: float, seed: int) -> None:
        self._loop = EventLoop()
        self._rng = np.random.default_rng(seed)
        self._random = random.Random(seed)
        self._load = load
        self._config = ConfigState()
        self._add_object(ObjectKind.ROUTE, ROUTE)
        self._add_object(ObjectKind.DATA_CENTRE, DataCentre(DATA_CENTRE, "lombardia"))
        self._organisations = {name: Organisation(name, 0.0, 0.0) for name in SHARES}
        self._engines = {}
        for index in range(ENDPOINTS):
            self._add_endpoint(index)
        self._instances = [
            self._make_instance(discipline, index) for index in range(INSTANCES)
        ]
        self.measures = Measures()

    def run(self) -> Measures:
        """Run the simulation and return its measures."""
        tokens_per_s = sum(
            engine.endpoint.slots * engine.endpoint.decode_tokens_per_s
            for engine in self._engines.values()
        )
        rate = self._load * tokens_per_s / MEAN_OUTPUT_TOKENS
        duration_s = WARM_UP_S + MEASURED_S
        self.measures.capacity_tokens = tokens_per_s * MEASURED_S
        for demand in make_demands(self._rng, rate, duration_s):
            self._loop.schedule(demand.time_s, self._arrive, demand)
        for engine in self._engines.values():
            self._loop.schedule(self._random.random(), self._publish_load, engine)
        self._loop.run(duration_s)
        return self.measures

    def _arrive(self, demand: Demand) -> None:
        if demand.time_s >= WARM_UP_S:
            requested = self.measures.requested_tokens
            name = demand.organisation
            requested[name] = requested.get(name, 0.0) + demand.output_tokens
            self.measures.requests += 1
        instance = self._random.choice(self._instances)
        try:
            waiter = instance.queue.join(
                demand.organisation,
                1.0,
                demand.prompt_tokens,
                OUTPUT_LIMIT,
                demand.deadline_s,
                0,
            )
        except RefusedError as error:
            self._count_refusal(demand, error)
            self._process_decisions(instance)
            return
        instance.waiting[waiter] = demand
        self._process_decisions(instance)
        if waiter in instance.waiting:
            remaining_s = (
                instance.queue.latest_start_s(waiter) - self._loop.monotonic_s()
            )
            self._loop.schedule(max(0.0, remaining_s), self._expire, instance, waiter)

    def _expire(self, instance: _Instance, waiter: Waiter) -> None:
        instance.queue.expire(waiter)
        self._process_decisions(instance)

    def _process_decisions(self, instance: _Instance) -> None:
        # Replaces the threads that wake up when their requests are decided.
        decided = [w for w in instance.waiting if w.decided.is_set()]
        for waiter in decided:
            demand = instance.waiting.pop(waiter)
            if waiter.refusal is not None:
                self._count_refusal(demand, waiter.refusal)
            else:
                self._send_to_engine(instance, waiter, demand)

    def _send_to_engine(
        self, instance: _Instance, waiter: Waiter, demand: Demand
    ) -> None:
        request = RoutingRequest(
            id="",
            route=ROUTE,
            organisation=self._organisations[demand.organisation],
            prompt_tokens=demand.prompt_tokens,
            output_tokens=OUTPUT_LIMIT,
            prefix_hashes=(),
            deadline_s=demand.deadline_s,
        )
        endpoint = instance.router.choose(request).endpoint
        handle = instance.router.start(request, endpoint)

        def _on_done() -> None:
            handle.finish(demand.output_tokens, failed=False)
            self._count_answer(demand)
            instance.queue.leave(waiter)
            self._process_decisions(instance)

        def _on_first_token() -> None:
            handle.record_first_token()
            self._count_first_token(demand)

        self._engines[endpoint.id].submit(
            Job(
                demand.prompt_tokens,
                demand.output_tokens,
                (),
                _on_first_token,
                _on_done,
                _on_done,
            )
        )

    def _count_refusal(self, demand: Demand, error: RefusedError) -> None:
        if demand.time_s >= WARM_UP_S:
            code = error.code.code
            self.measures.refused[code] = self.measures.refused.get(code, 0) + 1

    def _count_first_token(self, demand: Demand) -> None:
        if demand.time_s >= WARM_UP_S:
            latency_s = self._loop.monotonic_s() - demand.time_s
            self.measures.first_token_s.append(latency_s)

    def _count_answer(self, demand: Demand) -> None:
        now_s = self._loop.monotonic_s()
        if now_s < WARM_UP_S:
            return
        if now_s > demand.deadline_s:
            self.measures.late_tokens += demand.output_tokens
            return
        served = self.measures.served_tokens
        name = demand.organisation
        served[name] = served.get(name, 0.0) + demand.output_tokens

    def _publish_load(self, engine: Engine) -> None:
        self._loop.schedule(REPORT_INTERVAL_S, self._publish_load, engine)
        report = LoadReport(
            engine.endpoint.id, engine.running, engine.queued, age_s=REPORT_LAG_S
        )
        self._loop.schedule(REPORT_LAG_S, self._deliver_report, report)

    def _deliver_report(self, report: LoadReport) -> None:
        for instance in self._instances:
            instance.router.apply_load_report(report)
            instance.queue.admit()
            self._process_decisions(instance)

    def _add_object(self, kind: ObjectKind, value: object) -> None:
        self._config.merge([Entry(kind, value.id, 1, value)])

    def _add_endpoint(self, index: int) -> None:
        factor = FASTEST_TO_SLOWEST_RATIO ** (index / (ENDPOINTS - 1))
        endpoint = Endpoint(
            id=f"e{index}",
            data_centre=DATA_CENTRE,
            address="127.0.0.1:1",
            routes=(ROUTE.id,),
            slots=SLOTS,
            prefill_tokens_per_s=SLOWEST_PREFILL_TOKENS_PER_S * factor,
            decode_tokens_per_s=SLOWEST_DECODE_TOKENS_PER_S * factor,
        )
        self._engines[endpoint.id] = Engine(self._loop, endpoint)
        self._add_object(ObjectKind.ENDPOINT, endpoint)

    def _make_instance(self, discipline: Discipline, index: int) -> _Instance:
        router = Router(
            clock=self._loop,
            config=self._config,
            data_centre=DATA_CENTRE,
            policy=ShortestTimePolicy(random.Random(index)),
            count_instances=lambda: INSTANCES,
            delay_s=lambda target: 0.08,
        )
        queue = AdmissionQueue(
            self._loop,
            lambda: router.concurrency_limit(ROUTE.id),
            discipline.make_queue(),
            discipline.limits,
        )
        return _Instance(router, queue)
