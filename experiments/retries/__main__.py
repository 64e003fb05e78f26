"""Print a table of retries, success, latency and crashes by fault and policy."""

import argparse
from pathlib import Path

from loguru import logger

from experiments.retries._cost import print_cost
from experiments.retries._fault import Fault
from experiments.retries._scenario import Policy, Scenario, simulate
from experiments.retries._table import Results, print_table

DEFAULT_SEEDS = 5
RETRY_POLICIES = (
    Policy.NO_RETRIES,
    Policy.UNBOUNDED,
    Policy.BUDGETED,
    Policy.HEDGED,
    Policy.HEDGED_RARELY,
)
CRASH_POLICIES = (
    *RETRY_POLICIES[:3],
    Policy.LOCAL_QUARANTINE,
    Policy.QUARANTINE,
)
CRASH_FAULTS = (
    Fault.NONE,
    Fault.CRASHING,
    Fault.REGION_LOST,
    Fault.LINK_RESET,
    Fault.CRASHER,
    Fault.CRASHER_BURST,
)

TIMEOUT_FAULTS = (Fault.SLOW, Fault.SILENT, Fault.REGION_LOST)


def main() -> None:
    """Run all simulations and print the table."""
    parser = argparse.ArgumentParser(prog="python -m experiments.retries")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--plot", type=Path, metavar="FILE")
    parser.add_argument("--cost", action="store_true", help="print costs instead")
    options = parser.parse_args()
    logger.remove()
    if options.cost:
        print_cost()
        return
    results: Results = {}
    for fault in Fault:
        for policy in _choose_policies(fault):
            results[fault, policy] = [
                simulate(Scenario(fault, policy, seed))
                for seed in range(1, options.seeds + 1)
            ]
    print_table(results, options.seeds)
    if options.plot:
        from experiments.retries._plot import plot

        plot(results, options.plot)


def _choose_policies(fault: Fault) -> tuple[Policy, ...]:
    policies = RETRY_POLICIES
    if fault in TIMEOUT_FAULTS:
        policies = (*policies, Policy.FLAT, Policy.DEAR)
    if fault in CRASH_FAULTS:
        policies = tuple(dict.fromkeys([*policies, *CRASH_POLICIES]))
    return policies


if __name__ == "__main__":
    main()
