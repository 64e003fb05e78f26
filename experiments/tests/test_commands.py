from datetime import timedelta

from experiments.commands.choice import compare_choices
from experiments.commands.simulation import simulate


class TestCommandSimulation:
    def test_concurrent_loads_do_not_exceed_limit(self):
        run = simulate(12, 4, 2, timedelta(seconds=20), seed=1)
        assert run.peak_loads <= 2
        assert run.commands == 12

    def test_shared_order_does_not_exceed_limit(self):
        choice = compare_choices(50, 8, 2, seed=1)
        assert choice.shared == 2 < choice.independent
