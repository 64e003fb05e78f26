import pytest

from experiments.admission.bench import Bench
from experiments.admission.discipline import DISCIPLINES
from experiments.admission.measures import Measures


class TestBench:
    def test_run_is_repeatable_to_the_digit(self, monkeypatch):
        monkeypatch.setattr("experiments.admission.bench.WARM_UP_S", 2.0)
        monkeypatch.setattr("experiments.admission.bench.MEASURED_S", 10.0)
        first = Bench(DISCIPLINES[0], 1.3, seed=2).run()
        assert first.requests > 0
        assert Bench(DISCIPLINES[0], 1.3, seed=2).run() == first


class TestMeasures:
    def test_fair_share_redistributes_unrequested_tokens(self):
        measures = Measures(
            requested_tokens={"small": 10.0, "large": 100.0, "middle": 50.0},
            served_tokens={"small": 10.0, "large": 45.0, "middle": 9.0},
            capacity_tokens=100.0,
        )
        assert measures.served_ratio("small") == pytest.approx(1.0)
        assert measures.served_ratio("large") == pytest.approx(1.0)
        assert measures.served_ratio("middle") == pytest.approx(0.2)
