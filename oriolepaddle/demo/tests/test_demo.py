import pytest
from loguru import logger

from oriolepaddle.clock import SystemClock
from oriolepaddle.demo.run import run_steps


@pytest.fixture
def quiet():
    logger.disable("oriolepaddle")
    yield
    logger.enable("oriolepaddle")


class TestDemo:
    def test_runs_every_step(self, quiet):
        seen = {row.step: row.seen for row in run_steps(SystemClock(), lambda _: None)}
        assert len(seen) == 9
        assert "run 1 time(s)" in seen["one order sent through three instances"]
        assert "run 1 time(s)" in seen["a dosing order whose answer is lost"]
        assert ", 0 cut" in seen["an instance drained under load"]
