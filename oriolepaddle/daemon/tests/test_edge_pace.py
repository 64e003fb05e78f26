import pytest

from oriolepaddle.daemon.tests.edge_fleet import DESK, EdgeFleet
from oriolepaddle.placement import Job


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    fleet.add_runner("d1", DESK)
    fleet.add_instance("n1")
    fleet.await_ready()
    yield fleet
    fleet.close()


class TestPace:
    @pytest.mark.parametrize(
        ("pace", "expected"), [("250", 2.5), (None, None), ("fast", None)]
    )
    def test_of_a_response_reaches_the_placement(self, fleet, pace, expected):
        """The header must not be lost between the transport and the score."""
        fleet.runners["d1"].pace = pace
        for _ in range(3):
            assert fleet.request("n1", "/read/1")[0] == 200
        (score,) = fleet.instances["n1"].context.placer.explain(Job(DESK))
        assert score.pace == expected
        metrics = fleet.instances["n1"].metrics.render().decode()
        has_error = "oriolepaddle_prediction_error_ratio_count 0.0" not in metrics
        assert has_error == (expected is not None)
