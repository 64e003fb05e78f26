from experiments.streams.measurement import measure_costs


class TestStreamMeasurement:
    def test_steps_are_measured(self):
        assert len(measure_costs(100)) == 5
