import pytest

from experiments.capacity.fit import fit_line
from experiments.capacity.projection import TaskLoad, add_loads, share_of_core
from experiments.capacity.series import Series, measure_us
from experiments.capacity.target import TargetScale


class FakeCpuTime:
    """Processor time reader whose value the measured steps set."""

    def __init__(self):
        self.spent_s = 0.0

    def read_s(self):
        return self.spent_s


class TestFit:
    def test_recovers_slope_and_intercept(self):
        line = fit_line([10, 35, 71, 140], [5 + 3 * n for n in (10, 35, 71, 140)])
        assert line.slope == pytest.approx(3.0)
        assert line.intercept == pytest.approx(5.0)
        assert line.at(100) == pytest.approx(305.0)

    def test_series_measures_known_cost(self):
        cpu = FakeCpuTime()

        def cost(size):
            def work(number):
                cpu.spent_s += size * 2e-6

            return measure_us(cpu, work, 10)

        series = Series.measure("task", "size", "us", (1, 2, 4), cost)
        assert series.costs == pytest.approx((2.0, 4.0, 8.0))
        assert series.line.slope == pytest.approx(2.0)


class TestProjection:
    def test_core_share_is_cost_times_rate(self):
        assert share_of_core(600.0, 50.0) == pytest.approx(0.03)

    def test_control_total_excludes_caller_traffic(self):
        loads = [
            TaskLoad("a", True, 1.0, 2.0, 3.0, 0.25),
            TaskLoad("b", True, 10.0, 20.0, 30.0, 0.5),
            TaskLoad("c", False, 7.0, 7.0, 7.0, 7.0),
        ]
        total = add_loads("control", loads, is_control=True)
        assert total == TaskLoad("control", True, 11.0, 22.0, 33.0, 0.75)

    def test_steady_calls_to_configuration_service(self):
        target = TargetScale(
            instances=10, changes_per_day=86_400, restarts_per_day=43_200, watches=2
        )
        assert target.steady_calls_per_s == pytest.approx(10 * (2 / 20 + 1 + 1))
