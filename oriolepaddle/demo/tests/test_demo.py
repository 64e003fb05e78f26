import pytest
from loguru import logger

from oriolepaddle.clock import SystemClock
from oriolepaddle.demo.run import run_steps


@pytest.fixture
def disabled_log():
    logger.disable("oriolepaddle")
    yield
    logger.enable("oriolepaddle")


class TestDemo:
    def test_runs_every_step(self, disabled_log):
        results = {
            row.step: row.result for row in run_steps(SystemClock(), lambda _: None)
        }
        assert len(results) == 9
        assert "run 1 time(s)" in results["one order sent through three instances"]
        assert "run 1 time(s)" in results["a dosing order whose answer is lost"]
        assert ", 0 cut" in results["an instance drained under load"]
