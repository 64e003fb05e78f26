import pytest

from oriolepaddle.placement import Job
from oriolepaddle.placement.tests.engines import DESK, register, run

JOB = Job(DESK, max_first_byte_s=60.0)


@pytest.fixture
def costs(placer, catalog):
    for name in ("d1", "d2"):
        register(catalog, name, DESK)
    return lambda: {score.endpoint: score.cost_s for score in placer.explain(JOB)}


class TestSuspectedRun:
    """The failure: requests went on to an endpoint whose responses seemed lost."""

    def test_counts_as_a_failure_at_once(self, placer, costs):
        choice, placed = run(placer, JOB)
        before_s = costs()[choice.endpoint.id]
        placed.suspect()
        assert costs()[choice.endpoint.id] > before_s
        assert placer.choose(JOB).endpoint != choice.endpoint

    def test_counts_once(self, placer, costs):
        choice, placed = run(placer, JOB)
        placed.suspect()
        suspected_s = costs()[choice.endpoint.id]
        placed.suspect()
        placed.fail(is_unreachable=False)
        assert costs()[choice.endpoint.id] == suspected_s
