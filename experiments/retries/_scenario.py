"""One simulation of a policy under a fault."""

import enum
import random
from functools import partial

import attrs
import numpy as np

from experiments.retries._endpoint import EndpointModel
from experiments.retries._events import EventLoop
from experiments.retries._fault import FAULT_START_S, Fault, inject
from experiments.retries._gateway import GatewayModel
from experiments.retries._hedging import Hedging
from experiments.retries._links import LinkModel
from experiments.retries._measures import Measures
from experiments.retries._request import Request
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.retries import RetryPolicy, RetrySettings

__all__ = ["Policy", "Scenario", "simulate"]

DURATION_S = 120.0
DRAIN_S = 30.0
RATE_PER_S = 40.0
INSTANCES = 3
ENDPOINTS = 9
SLOTS = 4
ORGANISATIONS = 40
MEAN_WORK_S = 0.5
WORK_SIGMA = 0.8
MAX_WORK_S = 3.0
IDEMPOTENT_SHARE = 0.9
CRASHERS = 4
CRASHER_INTERVAL_S = 15.0
CRASHER_SENDS = 10
CRASHER_RESEND_DELAY_S = 0.05
BURST_SPREAD_S = 0.02


class Policy(enum.StrEnum):
    """How failed attempts and crashing requests are handled."""

    NO_RETRIES = "no retries"
    UNBOUNDED = "unbounded retries"
    BUDGETED = "budgeted retries"
    FLAT = "budgeted, timeouts cost 1"
    DEAR = "budgeted, timeouts cost 2"
    HEDGED = "budgeted, hedged"
    HEDGED_RARELY = "budgeted, hedged rarely"
    LOCAL_QUARANTINE = "budgeted, quarantine untold"
    QUARANTINE = "budgeted, quarantine"


RETRY_SETTINGS = {
    Policy.FLAT: RetrySettings(timeout_cost=1.0),
    Policy.DEAR: RetrySettings(timeout_cost=2.0),
    Policy.UNBOUNDED: RetrySettings(
        max_attempts=10,
        budget_ratio=0.99,
        budget_cap=1e9,
        organisation_cap=1e9,
        endpoint_cap=1e9,
    ),
}


def _make_no_hedging() -> None:
    return None


HEDGINGS = {
    Policy.HEDGED: partial(Hedging, ratio=0.05, percentile=95.0),
    Policy.HEDGED_RARELY: partial(Hedging, ratio=0.01, percentile=99.0),
}


@attrs.frozen
class Scenario:
    """A fault, the policy that handles it, and the seed."""

    fault: Fault
    policy: Policy
    seed: int


def simulate(scenario: Scenario) -> Measures:
    """Run one simulation and return its measures."""
    return _Simulation(scenario).run()


class _Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._loop = EventLoop()
        self._measures = Measures()
        # With separate random streams, the traffic is the same under every policy.
        streams = np.random.SeedSequence(scenario.seed).spawn(4)
        traffic, endpoints, routing, links = map(np.random.default_rng, streams)
        self._rng = traffic
        self._endpoints = {
            f"endpoint-{number}": EndpointModel(
                self._loop, f"endpoint-{number}", SLOTS, endpoints
            )
            for number in range(ENDPOINTS)
        }
        self._gateways = self._make_gateways(routing, links)
        self._crasher_sends: dict[bytes, int] = {}
        self._organisation_shares = 1.0 / np.arange(1, ORGANISATIONS + 1)
        self._organisation_shares /= self._organisation_shares.sum()

    def run(self) -> Measures:
        """Run the simulation and return its measures."""
        self._schedule_traffic()
        inject(self._scenario.fault, self._loop, list(self._endpoints.values()))
        if self._scenario.fault in (Fault.CRASHER, Fault.CRASHER_BURST):
            self._schedule_crashers()
        self._loop.run(DURATION_S + DRAIN_S)
        for endpoint in self._endpoints.values():
            self._measures.busy_s += endpoint.busy_s
            self._measures.crashes.update(endpoint.crashes_by_fingerprint)
        return self._measures

    def _make_gateways(
        self, rng: np.random.Generator, links_rng: np.random.Generator
    ) -> list[GatewayModel]:
        policy = self._scenario.policy
        seed = self._scenario.seed
        quarantines = [None] * INSTANCES
        if policy is Policy.QUARANTINE:
            links = LinkModel(self._loop, INSTANCES, links_rng, seed)
            quarantines = links.quarantines
        if policy is Policy.LOCAL_QUARANTINE:
            quarantines = [
                LinkModel(self._loop, 1, links_rng, seed).quarantines[0]
                for _ in range(INSTANCES)
            ]
        return [
            GatewayModel(
                self._loop,
                self._endpoints,
                self._make_policy(number),
                HEDGINGS.get(policy, _make_no_hedging)(),
                quarantine,
                self._measures,
                rng,
                self._scenario.fault is Fault.REFUSING_BLIND,
            )
            for number, quarantine in enumerate(quarantines)
        ]

    def _make_policy(self, number: int) -> RetryPolicy | None:
        policy = self._scenario.policy
        if policy is Policy.NO_RETRIES:
            return None
        settings = RETRY_SETTINGS.get(policy, RetrySettings())
        rng = random.Random(self._scenario.seed * INSTANCES + number)
        return RetryPolicy(self._loop.clock, settings, rng)

    def _schedule_traffic(self) -> None:
        count = self._rng.poisson(RATE_PER_S * DURATION_S)
        times_s = np.sort(self._rng.uniform(0, DURATION_S, count))
        mu = np.log(MEAN_WORK_S) - WORK_SIGMA**2 / 2
        durations_s = self._rng.lognormal(mu, WORK_SIGMA, count).clip(max=MAX_WORK_S)
        organisations = self._rng.choice(
            ORGANISATIONS, count, p=self._organisation_shares
        )
        are_idempotent = self._rng.random(count) < IDEMPOTENT_SHARE
        instances = self._rng.integers(INSTANCES, size=count)
        for number in range(count):
            request = Request(
                number.to_bytes(16, "big"),
                f"organisation-{organisations[number]}",
                float(durations_s[number]),
                bool(are_idempotent[number]),
                float(times_s[number]),
            )
            gateway = self._gateways[instances[number]]
            self._loop.schedule(request.arrived_s, gateway.arrive, request)

    def _schedule_crashers(self) -> None:
        for gateway in self._gateways:
            gateway.on_end = self._resend_crasher
        is_burst = self._scenario.fault is Fault.CRASHER_BURST
        for number in range(CRASHERS):
            fingerprint = b"crasher-%08d" % number
            self._measures.crashes[fingerprint] = 0
            self._crasher_sends[fingerprint] = 0
            at_s = FAULT_START_S + number * CRASHER_INTERVAL_S
            for instance in range(INSTANCES if is_burst else 1):
                delay_s = at_s + instance * BURST_SPREAD_S
                self._loop.schedule(delay_s, self._send_crasher, fingerprint, instance)

    def _send_crasher(self, fingerprint: bytes, instance: int) -> None:
        if self._crasher_sends[fingerprint] >= CRASHER_SENDS:
            return
        self._crasher_sends[fingerprint] += 1
        request = Request(
            fingerprint,
            "organisation-0",
            MEAN_WORK_S,
            True,
            self._loop.now_s,
            is_crasher=True,
        )
        self._gateways[instance].arrive(request)

    def _resend_crasher(
        self, request: Request, error: OriolepaddleError | None
    ) -> None:
        """Send a failed crashing request again to a random instance, as callers do."""
        if not request.is_crasher or error is None:
            return
        instance = int(self._rng.integers(INSTANCES))
        self._loop.schedule(
            CRASHER_RESEND_DELAY_S, self._send_crasher, request.fingerprint, instance
        )
