"""Placement at plain endpoints whose speed varies, by what callers get."""

import attrs
import pytest

from experiments.placement.pace import PaceParameters
from experiments.placement.plain_region import PlainRegion, PlainScenario

SECONDS, WARM_UP_S, SEEDS = 8.0, 2.0, range(2)
SLOW = PlainScenario()
UNEVEN = PlainScenario(rate_per_s=370.0, costs_s=((0.02, 0.9), (0.4, 0.1)))
SCENARIOS = {
    "one of six slow": SLOW,
    "high load": attrs.evolve(SLOW, rate_per_s=330.0),
    "two endpoints": attrs.evolve(SLOW, endpoints=2, rate_per_s=75.0),
    "costs differ twentyfold": UNEVEN,
    "false reports": attrs.evolve(SLOW, pace=PaceParameters(has_false_reports=True)),
    "reports one second old": attrs.evolve(SLOW, announce_delay_s=1.0),
    "lost peers": attrs.evolve(SLOW, lost_from_s=4.0),
    "as usual": attrs.evolve(SLOW, pace=PaceParameters(slow_factor=1.0)),
}


@attrs.frozen
class Measures:
    p50_s: float
    p99_s: float
    on_time: float
    worst_on_time: float


def measure(scenario, variant):
    outcomes = [
        item
        for seed in SEEDS
        for item in PlainRegion(scenario, variant, seed).run(SECONDS)
        if item.arrived_s >= WARM_UP_S
    ]
    times_s = sorted(
        float("inf") if item.response_s is None else item.response_s
        for item in outcomes
    )
    shares = [
        find_on_time(scenario, [x for x in outcomes if x.organisation == number])
        for number in range(scenario.organisations)
    ]
    return Measures(
        times_s[len(times_s) // 2],
        times_s[int(0.99 * len(times_s))],
        find_on_time(scenario, outcomes),
        min(shares),
    )


def find_on_time(scenario, outcomes):
    times_s = [x.response_s for x in outcomes if x.response_s is not None]
    return sum(time_s <= scenario.target_s for time_s in times_s) / len(outcomes)


class TestPlainRegion:
    @pytest.mark.parametrize("name", SCENARIOS)
    def test_callers_get_more_than_without_paces(self, name):
        """`without` is the placement as it is for endpoints that report no pace."""
        scenario = SCENARIOS[name]
        before = measure(scenario, "without")
        after = measure(scenario, "pace")
        assert after.p50_s <= before.p50_s
        assert after.p99_s <= before.p99_s
        assert after.on_time >= before.on_time
        assert after.worst_on_time >= before.worst_on_time

    @pytest.mark.parametrize(
        "name", ["one of six slow", "high load", "reports one second old"]
    )
    def test_p99_is_below_that_of_least_outstanding_requests(self, name):
        """The bound is the required 0.6 on uneven load."""
        scenario = SCENARIOS[name]
        least = measure(scenario, "outstanding")
        assert measure(scenario, "pace").p99_s <= 0.6 * least.p99_s

    def test_same_seed_gives_the_same_outcomes(self):
        runs = [PlainRegion(SLOW, "pace", 3).run(1.0) for _ in range(2)]
        assert runs[0] == runs[1]
