"""A trial: one limiting method in one scenario."""

import heapq
import random
from collections.abc import Callable

import attrs

from experiments.limits.fleet import Fleet
from experiments.limits.scenario import Scenario
from experiments.limits.trialresult import TrialResult
from experiments.limits.usage import UseLog
from experiments.limits.workload import (
    Request,
    make_organisations,
    make_requests,
)
from oriolepaddle.config import Entry
from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import LimitSettings, TokenLimiter
from oriolepaddle.limits.bucket import Bucket, BucketDebit
from oriolepaddle.limits.fixed import FixedSplitLimiter

__all__ = ["METHODS", "run_trial"]

TICK_S = 0.2
WARM_UP_S = 60.0
DRAIN_S = 10.0

LimiterFactory = Callable[[Fleet], dict[str, TokenLimiter]]


@attrs.define
class _Account:
    """An organisation's bucket for the whole fleet and its admitted requests."""

    organisation: Organisation
    bucket: Bucket
    log: UseLog


class _Trial:
    def __init__(
        self, scenario: Scenario, make_limiters: LimiterFactory, seed: int
    ) -> None:
        self.scenario = scenario
        rng = random.Random(seed)
        self.organisations = make_organisations(scenario.organisations)
        self.fleet = _make_fleet(scenario, self.organisations, rng)
        self.limiters = make_limiters(self.fleet)
        self.make_limiters = make_limiters
        self.requests = make_requests(
            rng,
            scenario.workload,
            self.organisations,
            scenario.instances,
            scenario.seconds + WARM_UP_S,
        )
        self.accounts = [self._make_account(item) for item in self.organisations]
        self.result = TrialResult()
        self.active_requests: list[tuple[float, int, Request, int, BucketDebit]] = []
        self.draining: set[str] = set()
        self.restarts: list[tuple[float, str]] = []
        self.started_s = self.fleet.now_s

    def run(self) -> TrialResult:
        pending = list(reversed(self.requests))
        events = _schedule_events(self.scenario)
        end_s = self.scenario.seconds + WARM_UP_S
        steps = round(end_s / TICK_S)
        for step in range(steps):
            until_s = step * TICK_S
            while pending and pending[-1].at_s < until_s:
                self._submit(pending.pop())
            self._advance_to(until_s)
            while events and events[0][0] <= until_s:
                events.pop(0)[1](self)
            if abs(until_s - WARM_UP_S) < TICK_S / 2:
                self.fleet.network.sent_bytes.clear()
            self._tick()
        return self._finish()

    def _make_account(self, organisation: Organisation) -> _Account:
        bucket = Bucket(-1e6)
        bucket.resize(organisation.rate_tokens_per_s, organisation.burst_tokens)
        bucket.advance(self.fleet.now_s)
        return _Account(organisation, bucket, UseLog(organisation))

    def _advance_to(self, at_s: float) -> None:
        while self.active_requests and self.active_requests[0][0] <= at_s:
            end_s, _, request, index, debit = heapq.heappop(self.active_requests)
            self.fleet.advance(max(0.0, self.started_s + end_s - self.fleet.now_s))
            account = self.accounts[request.organisation]
            account.bucket.advance(self.fleet.now_s)
            account.bucket.settle(debit, request.used)
            account.log.settle(index, request.used)
        self.fleet.advance(max(0.0, self.started_s + at_s - self.fleet.now_s))

    def _tick(self) -> None:
        now_s = self.fleet.now_s - self.started_s
        if self.make_limiters is _use_shared_limiters:
            for name in sorted(self.fleet.instances):
                self.fleet.tick(name)
        due_restarts = [item for item in self.restarts if item[0] <= now_s]
        self.restarts = [item for item in self.restarts if item[0] > now_s]
        for _, name in due_restarts:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance again."""
        self.fleet.start(name, self.scenario.instances[name])
        self.limiters[name] = self.make_limiters(self.fleet)[name]

    def _submit(self, request: Request) -> None:
        self._advance_to(request.at_s)
        account = self.accounts[request.organisation]
        account.bucket.advance(self.fleet.now_s)
        is_within_limit = account.bucket.balance >= request.reserved
        is_counted = request.at_s >= WARM_UP_S
        limiter = self.limiters.get(self._choose_instance(request))
        if limiter is None:
            return
        try:
            reservation = limiter.reserve(account.organisation, request.reserved)
        except RefusedError:
            self._count(request, is_counted, is_within_limit)
            return
        self._count(request, is_counted, False)
        debit = account.bucket.acquire(request.reserved)
        if debit is None:
            # Admitted beyond the limit; `UseLog.overshoot` measures by how much.
            debit = BucketDebit(request.reserved, 0.0, self.fleet.now_s)
            account.bucket.charge(request.reserved)
        index = account.log.add(self.fleet.now_s, reservation)
        end_s = request.at_s + request.duration_s
        item = (end_s, len(account.log.uses), request, index, debit)
        heapq.heappush(self.active_requests, item)

    def _choose_instance(self, request: Request) -> str:
        """Return the instance, or another one of its data centre while it is down."""
        serving = self.fleet.instances.keys() - self.draining
        if request.instance in serving:
            return request.instance
        centre = self.scenario.instances[request.instance]
        others = (
            name
            for name, data_centre in self.scenario.instances.items()
            if data_centre == centre and name in serving
        )
        return next(others, "")

    def _count(self, request: Request, is_counted: bool, is_refused: bool) -> None:
        if not is_counted:
            return
        if request.organisation == self.scenario.workload.excessive:
            self.result.excess_requests += 1
            self.result.excess_refused += is_refused
        else:
            self.result.requests += 1
            self.result.refused += is_refused

    def _finish(self) -> TrialResult:
        overshoots = [account.log.overshoot() for account in self.accounts]
        sent = sum(self.fleet.network.sent_bytes.values())
        instances = len(self.scenario.instances)
        self.result.overshoot_tokens = max(overshoots)
        self.result.bytes_per_s = sent / instances / self.scenario.seconds
        return self.result


def run_trial(scenario: Scenario, method: str, seed: int) -> TrialResult:
    """Run one limiting method in a scenario.

    Args:
        scenario: The load and the faults.
        method: A key of `METHODS`.
        seed: The seed of the arrivals and the clocks' drifts.
    """
    return _Trial(scenario, METHODS[method], seed).run()


def _make_fleet(
    scenario: Scenario, organisations: list[Organisation], rng: random.Random
) -> Fleet:
    entries = [
        Entry(ObjectKind.ORGANISATION, item.id, 1, item, str(item))
        for item in organisations
    ]
    for name in sorted(set(scenario.instances.values())):
        centre = DataCentre(name, region=name)
        entries.append(Entry(ObjectKind.DATA_CENTRE, name, 1, centre, str(centre)))
    fleet = Fleet(LimitSettings(), tuple(entries))
    for name, centre in scenario.instances.items():
        fleet.start(name, centre, rng.choice([-0.0005, 0.0, 0.0005]))
    # All buckets are full at the start, as after a period without requests.
    fleet.run(180.0, step_s=1.0)
    return fleet


def _schedule_events(
    scenario: Scenario,
) -> list[tuple[float, Callable[[_Trial], None]]]:
    names = list(scenario.instances)
    third_s = scenario.seconds / 3
    events: list[tuple[float, Callable[[_Trial], None]]] = []
    if scenario.cut_off:
        events.append((WARM_UP_S + third_s, _cut_off))
        events.append((WARM_UP_S + 2 * third_s, _reconnect))
    for index in range(scenario.replacements):
        at_s = WARM_UP_S + 10 + 30 * index
        name = names[index % len(names)]
        events.append((at_s, _Drain(name)))
        events.append((at_s + DRAIN_S, _Replacement(name)))
    for index in range(scenario.crashes):
        at_s = WARM_UP_S + 25 + 60 * index
        events.append((at_s, _Crash(names[-1 - index % len(names)])))
    return sorted(events, key=lambda event: event[0])


def _cut_off(trial: _Trial) -> None:
    fleet, scenario = trial.fleet, trial.scenario
    inside = {
        name
        for name, centre in scenario.instances.items()
        if centre == scenario.cut_off
    }
    fleet.network.cut(inside, set(scenario.instances) - inside)
    for name in inside:
        fleet.instances[name].has_platform = False
        fleet.unlist(name)


def _reconnect(trial: _Trial) -> None:
    fleet = trial.fleet
    fleet.network.cuts.clear()
    for name, instance in fleet.instances.items():
        if not instance.has_platform:
            instance.has_platform = True
            fleet.list(name, trial.scenario.instances[name])


@attrs.frozen
class _Drain:
    name: str

    def __call__(self, trial: _Trial) -> None:
        if self.name in trial.fleet.instances:
            trial.draining.add(self.name)
            if trial.make_limiters is _use_shared_limiters:
                trial.limiters[self.name].prepare_hand_over()


@attrs.frozen
class _Replacement:
    name: str

    def __call__(self, trial: _Trial) -> None:
        instance = trial.fleet.instances.get(self.name)
        if instance is None:
            return
        instance.limiter.hand_over()
        trial.draining.discard(self.name)
        trial.fleet.stop(self.name)
        trial.start(self.name)


@attrs.frozen
class _Crash:
    name: str

    def __call__(self, trial: _Trial) -> None:
        if self.name in trial.fleet.instances:
            trial.fleet.stop(self.name)
            now_s = trial.fleet.now_s - trial.started_s
            trial.restarts.append((now_s + 10, self.name))


def _use_shared_limiters(fleet: Fleet) -> dict[str, TokenLimiter]:
    return {name: instance.limiter for name, instance in fleet.instances.items()}


def _split_by_instance(fleet: Fleet) -> dict[str, TokenLimiter]:
    count = len(fleet.listed)
    return {
        name: FixedSplitLimiter(instance.clock, 1 / count)
        for name, instance in fleet.instances.items()
    }


def _split_by_centre(fleet: Fleet) -> dict[str, TokenLimiter]:
    """Use one limiter per data centre, as if sharing it were free."""
    centres = {item.id: item.data_centre for item in fleet.listed}
    count = len(set(centres.values()))
    shared: dict[str, TokenLimiter] = {}
    for name, instance in fleet.instances.items():
        limiter = FixedSplitLimiter(instance.clock, 1 / count)
        shared.setdefault(centres[name], limiter)
    return {name: shared[centres[name]] for name in fleet.instances}


METHODS: dict[str, LimiterFactory] = {
    "fixed by instance": _split_by_instance,
    "fixed by data centre": _split_by_centre,
    "shared": _use_shared_limiters,
}
