"""Print refusals, overshoot and cost of each limiting method over fixed seeds."""

from experiments.limits.cost import print_costs
from experiments.limits.scenario import Scenario
from experiments.limits.trial import METHODS, run_trial
from experiments.limits.trialresult import TrialResult
from experiments.limits.workload import Workload

SEEDS = (1, 2, 3, 4, 5)
DATA_CENTRES = {
    "a1": "a",
    "a2": "a",
    "b1": "b",
    "b2": "b",
    "c1": "c",
    "c2": "c",
    "c3": "c",
}

SCENARIOS = (
    Scenario("calm, even", DATA_CENTRES, Workload(0.6, is_skewed=False)),
    Scenario("calm, skewed", DATA_CENTRES, Workload(0.6, is_skewed=True)),
    Scenario("calm, skewed, 85% load", DATA_CENTRES, Workload(0.85, is_skewed=True)),
    Scenario(
        "one at 4 x its rate", DATA_CENTRES, Workload(0.6, is_skewed=True, excessive=2)
    ),
    Scenario(
        "the same, data centre cut off",
        DATA_CENTRES,
        Workload(0.6, is_skewed=True, excessive=2),
        cut_off="b",
    ),
    Scenario(
        "the same, even arrivals",
        DATA_CENTRES,
        Workload(0.6, is_skewed=False, excessive=2),
        cut_off="b",
    ),
    Scenario(
        "9 replacements",
        DATA_CENTRES,
        Workload(0.6, is_skewed=True),
        replacements=9,
    ),
    Scenario("4 crashes", DATA_CENTRES, Workload(0.6, is_skewed=True), crashes=4),
)


def main() -> None:
    """Run all scenarios; print a table of their results and one of costs."""
    print(
        f"{'scenario':<30} {'way':<21} {'requests':>8} {'refused inside':>15} "
        f"{'worst seed':>11} {'overshoot':>10} {'B/s':>6}"
    )
    for scenario in SCENARIOS:
        for method in METHODS:
            results = [run_trial(scenario, method, seed) for seed in SEEDS]
            print(_format(scenario, method, results), flush=True)
    print()
    print_costs()


def _format(scenario: Scenario, method: str, results: list[TrialResult]) -> str:
    requests = sum(result.requests for result in results)
    refused = sum(result.refused for result in results)
    worst = max(result.refused / result.requests for result in results)
    overshoot = max(result.overshoot_tokens for result in results)
    sent = sum(result.bytes_per_s for result in results) / len(results)
    return (
        f"{scenario.name:<30} {method:<21} {requests:>8} "
        f"{100 * refused / requests:>14.3f}% {100 * worst:>10.3f}% "
        f"{overshoot:>10.3f} {sent:>6.0f}"
    )


if __name__ == "__main__":
    main()
