import pytest

from experiments.limits.scenario import Scenario
from experiments.limits.trial import METHODS, run_trial
from experiments.limits.workload import Workload

SCENARIO = Scenario(
    "short",
    {"a1": "a", "a2": "a", "b1": "b"},
    Workload(0.6, is_skewed=True, excessive=1),
    organisations=3,
    seconds=30.0,
    cut_off="b",
)


class TestTrial:
    @pytest.mark.parametrize("method", METHODS)
    def test_never_overshoots(self, method):
        result = run_trial(SCENARIO, method, seed=1)
        assert result.requests > 0
        assert result.overshoot_tokens <= 1e-6
