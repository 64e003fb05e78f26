"""Placement at plain endpoints whose speed varies, by what callers get."""

import pytest

from experiments.placement.plain import PLAIN_SCENARIOS, measure
from experiments.placement.plain_region import PlainRegion, PlainScenario

SECONDS, SEEDS = 8.0, 2


class TestPlainRegion:
    @pytest.mark.parametrize("name", PLAIN_SCENARIOS)
    def test_callers_get_more_than_without_paces(self, name):
        """`without` is the placement as it is for endpoints that report no pace."""
        scenario = PLAIN_SCENARIOS[name]
        before = measure(scenario, "without", SEEDS, SECONDS)
        after = measure(scenario, "pace", SEEDS, SECONDS)
        assert after.p50_s <= before.p50_s
        assert after.p99_s <= before.p99_s
        assert after.on_time >= before.on_time
        assert after.worst_on_time >= before.worst_on_time

    @pytest.mark.parametrize(
        "name", ["one of six slow", "high load", "reports one second old"]
    )
    def test_p99_is_below_that_of_least_outstanding_requests(self, name):
        """The bound is the required 0.6 on uneven load."""
        scenario = PLAIN_SCENARIOS[name]
        least = measure(scenario, "outstanding", SEEDS, SECONDS)
        found = measure(scenario, "pace", SEEDS, SECONDS)
        assert found.p99_s <= 0.6 * least.p99_s

    def test_same_seed_gives_the_same_outcomes(self):
        runs = [PlainRegion(PlainScenario(), "pace", 3).run(1.0) for _ in range(2)]
        assert runs[0] == runs[1]
