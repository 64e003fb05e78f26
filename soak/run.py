"""Runs the soak test with one seed."""

import tempfile
import time
from pathlib import Path

import attrs

from soak.callers import Callers
from soak.faults import Faults
from soak.fleet import SoakFleet, now_s
from soak.guarantees import find_violations
from soak.ledger import Ledger

__all__ = ["SoakResult", "run_seed"]

START_TIMEOUT_S = 60
SETTLE_S = 1.0
MIN_SERVED_FRACTION = 0.25
"""Minimum fraction of the requests that is served under any faults."""


@attrs.frozen
class SoakResult:
    """The result of a run.

    Attributes:
        seed: The seed.
        requests: The number of requests that callers sent.
        served: The number of requests with a complete answer of status 200.
        faults: The kinds of the injected faults.
        violations: A line for each violation of a guarantee.
        logs: The folder of the daemons' logs.
    """

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    logs: Path


def run_seed(
    seed: int, duration_s: float, callers: int = 8, instances_each: int = 2
) -> SoakResult:
    """Run a fleet under the faults of a seed; even seeds have only planned ones.

    Args:
        seed: Seeds the faults and the requests.
        duration_s: Seconds during which faults are injected.
        callers: The number of caller threads.
        instances_each: The number of instances in each of two data centres.
    """
    is_planned_only = seed % 2 == 0
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = SoakFleet(folder, instances_each)
    ledger = Ledger()
    caller_threads = Callers(
        fleet.caller_addresses, fleet.known_keys, ledger, seed, callers
    )
    faults = Faults(fleet, seed, is_planned_only)
    fleet.start()
    try:
        _await_ready(fleet)
        caller_threads.start()
        faults.start()
        time.sleep(duration_s)
        faults.stop()
        time.sleep(SETTLE_S)
        caller_threads.stop()
        sent = ledger.all()
        violations = find_violations(fleet, sent, is_planned_only)
    finally:
        fleet.stop()
    served = sum(
        item.status == 200 and item.answer is not None for item in sent.values()
    )
    if served < MIN_SERVED_FRACTION * len(sent):
        violations.append(f"only {served} of {len(sent)} requests were served")
    kinds = tuple(kind for _, kind in faults.events)
    return SoakResult(seed, len(sent), served, kinds, tuple(violations), folder)


def _await_ready(fleet: SoakFleet) -> None:
    deadline_s = now_s() + START_TIMEOUT_S
    while now_s() < deadline_s:
        if all(fleet.is_ready(name) for name in fleet.processes):
            return
        time.sleep(0.1)
    raise TimeoutError("the fleet did not become ready")
