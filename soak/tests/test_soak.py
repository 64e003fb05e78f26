import pytest

from soak.run import run_seed

FAULT_DURATION_S = 6.0
REGRESSIONS: dict[int, str] = {
    13: "the soak revoked a key that its document still assigned to another holder",
}
"""Seeds that failed once, each with its cause."""


class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
    def test_guarantees_hold(self, seed):
        result = run_seed(seed, FAULT_DURATION_S, callers=4)
        assert result.violations == ()
        assert result.requests > 0
