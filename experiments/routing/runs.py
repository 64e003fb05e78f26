"""All runs of the experiment."""

from concurrent.futures import ProcessPoolExecutor

import attrs

from experiments.routing.baselines import (
    LeastOutstandingPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)
from experiments.routing.fleet import Fleet
from experiments.routing.measures import Measures
from experiments.routing.scenario import SCENARIOS
from oriolepaddle.routing import ShortestTimePolicy

__all__ = ["CHOSEN", "POLICIES", "Run", "run_all"]

CHOSEN = "shortest time"
POLICIES = {
    CHOSEN: ShortestTimePolicy,
    "least outstanding": LeastOutstandingPolicy,
    "two choices": TwoChoicesPolicy,
    "round robin": RoundRobinPolicy,
    "random": RandomPolicy,
}


@attrs.frozen
class Run:
    """The key of one run.

    Attributes:
        scenario: The scenario's name.
        policy: The policy's name.
        seed: The seed.
    """

    scenario: str
    policy: str
    seed: int


def run_all(seeds: int, workers: int) -> dict[Run, Measures]:
    """Run each policy in each scenario with each seed.

    Args:
        seeds: The number of seeds, counted from 1.
        workers: Number of parallel processes.
    """
    runs = [
        Run(scenario.name, policy, seed)
        for scenario in SCENARIOS
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as executor:
        return dict(zip(runs, executor.map(_run, runs), strict=True))


def _run(run: Run) -> Measures:
    scenario = next(item for item in SCENARIOS if item.name == run.scenario)
    return Fleet(scenario, POLICIES[run.policy], run.seed).run()
