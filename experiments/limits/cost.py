"""Measure the limiter's cost per instance: bytes, calls and processor time."""

import random
import time

import attrs

from experiments.limits.fleet import Fleet
from experiments.limits.workload import (
    Request,
    Workload,
    make_organisations,
    make_requests,
)
from oriolepaddle.config import Entry
from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import LimitSettings

__all__ = ["CostCase", "InstanceCost", "measure_cost", "print_costs"]

MEASURED_S = 20.0
WARM_UP_S = 40.0
TICK_S = 0.2
LOAD = 0.6
TOKENS_PER_REQUEST = 1156.0


@attrs.frozen
class CostCase:
    """A fleet whose cost is measured.

    Attributes:
        centres: Number of data centres.
        size: Number of instances in each data centre.
        organisations: Number of organisations with traffic.
        requests_per_s: Requests per second at each instance.
        uses_pooling_instance: Whether callers use the pooling instance of their
            organisation.
    """

    centres: int
    size: int
    organisations: int
    requests_per_s: float
    uses_pooling_instance: bool = False


@attrs.frozen
class InstanceCost:
    """The cost of the limiter, per instance.

    Attributes:
        bytes_per_s: Bytes sent per second.
        calls_per_s: Calls per second between instances.
        core_share: Processor time, as a share of one core.
    """

    bytes_per_s: float
    calls_per_s: float
    core_share: float


CASES = (
    CostCase(centres=3, size=2, organisations=1, requests_per_s=0.1),
    CostCase(centres=3, size=8, organisations=1, requests_per_s=0.1),
    CostCase(centres=3, size=8, organisations=100, requests_per_s=5.0),
    CostCase(centres=3, size=8, organisations=400, requests_per_s=5.0),
    CostCase(centres=3, size=8, organisations=400, requests_per_s=21.0),
    CostCase(centres=3, size=8, organisations=1300, requests_per_s=21.0),
    CostCase(
        centres=3,
        size=8,
        organisations=1300,
        requests_per_s=21.0,
        uses_pooling_instance=True,
    ),
)


def print_costs() -> None:
    """Measure all cases and print a table. Times depend on the machine."""
    print(
        f"{'instances':>9} {'organisations':>13} {'requests/s':>10} "
        f"{'callers':>8} {'B/s':>7} {'calls/s':>8} {'CPU':>7}   (each instance)"
    )
    for case in CASES:
        _print_case(case)


def _print_case(case: CostCase) -> None:
    cost = measure_cost(case)
    print(
        f"{case.centres * case.size:>9} {case.organisations:>13} "
        f"{case.requests_per_s:>10} "
        f"{'at home' if case.uses_pooling_instance else 'anywhere':>8} "
        f"{cost.bytes_per_s:>7.0f} "
        f"{cost.calls_per_s:>8.2f} {100 * cost.core_share:>6.2f}%",
        flush=True,
    )


def measure_cost(case: CostCase) -> InstanceCost:
    """Run a fleet and return the cost of its limiters per instance."""
    instances = {
        f"c{centre}i{index}": f"c{centre}"
        for centre in range(case.centres)
        for index in range(case.size)
    }
    total_tokens_per_s = (
        case.requests_per_s * len(instances) * TOKENS_PER_REQUEST / LOAD
    )
    organisations = make_organisations(case.organisations, total_tokens_per_s)
    fleet = _make_fleet(instances, organisations)
    requests = make_requests(
        random.Random(1),
        Workload(LOAD, is_skewed=True),
        organisations,
        instances,
        WARM_UP_S + MEASURED_S,
    )
    if case.uses_pooling_instance:
        requests = [
            _move_to_pooling_instance(fleet, organisations, item) for item in requests
        ]
    pending = list(reversed(requests))
    _run(fleet, organisations, pending, 0.0, WARM_UP_S)
    fleet.network.sent_bytes.clear()
    calls = fleet.network.calls
    started_s = time.process_time()
    _run(fleet, organisations, pending, WARM_UP_S, WARM_UP_S + MEASURED_S)
    cpu_s = time.process_time() - started_s
    instance_seconds = len(instances) * MEASURED_S
    return InstanceCost(
        bytes_per_s=sum(fleet.network.sent_bytes.values()) / instance_seconds,
        calls_per_s=(fleet.network.calls - calls) / instance_seconds,
        core_share=cpu_s / instance_seconds,
    )


def _move_to_pooling_instance(
    fleet: Fleet, organisations: list[Organisation], request: Request
) -> Request:
    limiter = fleet.instances[request.instance].limiter
    pooling_instance = limiter.pooling_instance(organisations[request.organisation].id)
    return attrs.evolve(request, instance=pooling_instance)


def _make_fleet(instances: dict[str, str], organisations: list[Organisation]) -> Fleet:
    entries = [
        Entry(ObjectKind.ORGANISATION, item.id, 1, item) for item in organisations
    ]
    entries += [
        Entry(ObjectKind.DATA_CENTRE, name, 1, DataCentre(name, region=name))
        for name in sorted(set(instances.values()))
    ]
    fleet = Fleet(LimitSettings(), tuple(entries))
    for name, centre in instances.items():
        fleet.start(name, centre)
    fleet.run(180.0, step_s=1.0)
    return fleet


def _run(
    fleet: Fleet,
    organisations: list[Organisation],
    pending: list[Request],
    from_s: float,
    until_s: float,
) -> None:
    for step in range(round((until_s - from_s) / TICK_S)):
        fleet.advance(TICK_S)
        while pending and pending[-1].at_s < from_s + step * TICK_S:
            request = pending.pop()
            limiter = fleet.instances[request.instance].limiter
            try:
                organisation = organisations[request.organisation]
                limiter.reserve(organisation, request.reserved).settle(request.used)
            except RefusedError:
                continue
        for name in fleet.instances:
            fleet.tick(name)
