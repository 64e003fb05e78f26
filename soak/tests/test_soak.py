import pytest

from soak.run import run_seed

SHORT_S = 6.0
REGRESSIONS: dict[int, str] = {
    13: "the soak withdrew a key that its document still gave to another holder",
}
"""Seeds that ever failed, each with a line on the cause."""


class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
    def test_keeps_its_promises(self, seed):
        result = run_seed(seed, SHORT_S, callers=4)
        assert result.broken == ()
        assert result.requests > 0
