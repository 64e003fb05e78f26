import pytest

from experiments.retries._fault import Fault
from experiments.retries._scenario import Policy, Scenario, simulate

MAX_ADDED_SHARE = 0.10
MAX_CRASHES = 2


class TestRetriesExperiment:
    @pytest.mark.parametrize("fault", list(Fault))
    def test_budgeted_retries_add_few_attempts(self, fault):
        measures = simulate(Scenario(fault, Policy.BUDGETED, seed=1))
        assert measures.added_share < MAX_ADDED_SHARE

    def test_quarantine_keeps_its_targets(self):
        measures = simulate(Scenario(Fault.CRASHER, Policy.QUARANTINE, seed=1))
        assert max(measures.crashes.values()) <= MAX_CRASHES
        assert measures.harmless_refused == 0

    @pytest.mark.parametrize("policy", [Policy.QUARANTINE, Policy.HEDGED])
    def test_same_seed_gives_the_same_figures(self, policy):
        scenario = Scenario(Fault.CRASHER, policy, seed=1)
        first, second = simulate(scenario), simulate(scenario)
        assert first.answered == second.answered
        assert (first.p99_s, first.busy_s) == (second.p99_s, second.busy_s)
        assert first.crashes == second.crashes
