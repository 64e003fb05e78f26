"""One seeded run."""

import tempfile
import time
from pathlib import Path

import attrs

from soak.callers import Callers
from soak.faults import Faults
from soak.fleet import SoakFleet, now_s
from soak.ledger import Ledger
from soak.promises import find_broken_promises

__all__ = ["SoakResult", "run_seed"]

START_TIMEOUT_S = 60
SETTLE_S = 1.0
LEAST_SERVED_PART = 0.25
"""Part of the requests with valid keys that are served, whatever happens."""


@attrs.frozen
class SoakResult:
    """What a run has shown.

    Attributes:
        seed: Its seed.
        requests: Requests that callers sent.
        served: Requests with a whole answer of status 200.
        faults: Faults that befell the fleet.
        broken: A line for each broken promise.
        logs: The folder of the daemons' logs.
    """

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]
    logs: Path


def run_seed(
    seed: int, duration_s: float, callers: int = 8, instances_each: int = 2
) -> SoakResult:
    """Run the fleet under the faults of a seed; even seeds plan all of them.

    Args:
        seed: Draws faults and requests.
        duration_s: Seconds of faults.
        callers: Threads that send.
        instances_each: Instances in each of two data centres.
    """
    is_planned_only = seed % 2 == 0
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = SoakFleet(folder, instances_each)
    ledger = Ledger()
    senders = Callers(fleet.caller_addresses, fleet.known_keys, ledger, seed, callers)
    faults = Faults(fleet, seed, is_planned_only)
    fleet.start()
    try:
        _await_ready(fleet)
        senders.start()
        faults.start()
        time.sleep(duration_s)
        faults.stop()
        time.sleep(SETTLE_S)
        senders.stop()
        sent = ledger.all()
        broken = find_broken_promises(fleet, sent, is_planned_only)
    finally:
        fleet.stop()
    served = sum(
        item.status == 200 and item.answer is not None for item in sent.values()
    )
    if served < LEAST_SERVED_PART * len(sent):
        broken.append(f"only {served} of {len(sent)} requests were served")
    kinds = tuple(kind for _, kind in faults.events)
    return SoakResult(seed, len(sent), served, kinds, tuple(broken), folder)


def _await_ready(fleet: SoakFleet) -> None:
    deadline_s = now_s() + START_TIMEOUT_S
    while now_s() < deadline_s:
        if all(fleet.is_ready(name) for name in fleet.processes):
            return
        time.sleep(0.1)
    raise TimeoutError("the fleet did not become ready")
