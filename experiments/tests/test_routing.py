import attrs
import pytest

from experiments.routing.baselines import LeastOutstandingPolicy, RandomPolicy
from experiments.routing.fleet import Fleet
from experiments.routing.scenario import SCENARIOS
from oriolepaddle.routing import ShortestTimePolicy

OUTAGE = next(item for item in SCENARIOS if item.name == "region lost")
SHORT = attrs.evolve(OUTAGE, load=0.3, warm_up_s=5.0, measured_s=25.0)


class TestFleet:
    def test_run_is_repeatable_to_the_digit(self):
        first = Fleet(SHORT, ShortestTimePolicy, seed=3).run()
        assert Fleet(SHORT, ShortestTimePolicy, seed=3).run() == first

    @pytest.mark.parametrize(
        "policy", [ShortestTimePolicy, LeastOutstandingPolicy, RandomPolicy]
    )
    def test_every_request_ends_within_its_region(self, policy):
        measures = Fleet(SHORT, policy, seed=1).run()
        ended = len(measures.first_token_s) + measures.failed
        assert ended + sum(measures.refused.values()) == measures.total
        assert measures.outside_residency == measures.forwarded_twice == 0
        assert measures.forwarded > 0
