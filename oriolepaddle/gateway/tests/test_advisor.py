import json

import pytest

from oriolepaddle.config import ConfigState, parse_ticket
from oriolepaddle.gateway.advisor import InstanceAdvisor
from oriolepaddle.membership import Suggestion
from oriolepaddle.publication import Instance
from oriolepaddle.standins import make_object


class FakeFinder:
    def suggest_instances(self, place, count):
        names = [f"n{number}" for number in range(8)][:count]
        return Suggestion(tuple(Instance(name, place, "", "") for name in names))


class FakePoolingInstanceFinder:
    def __init__(self, pooling_instance):
        self._pooling_instance = pooling_instance

    def pooling_instance(self, organisation_id):
        return self._pooling_instance


@pytest.fixture
def config():
    config = ConfigState()
    rates = {"small": 1, "large": 50, "rest": 949}
    objects = [
        make_object("organisation", name, rate_tokens_per_s=rate, burst_tokens=10)
        for name, rate in rates.items()
    ]
    config.merge(parse_ticket(json.dumps({"number": 1, "objects": objects})).entries)
    return config


def advise(config, organisation, pooling_instance="n6"):
    advisor = InstanceAdvisor(
        FakeFinder(), FakePoolingInstanceFinder(pooling_instance), config
    )
    caller = config.organisation(organisation) if organisation else None
    return [item.id for item in advisor.advise("nordur-a", caller).instances]


class TestInstanceAdvisor:
    def test_small_organisation_is_sent_to_its_pooling_instance(self, config):
        assert advise(config, "small") == ["n6", "n0", "n1"]

    @pytest.mark.parametrize("organisation", ["large", None])
    def test_other_callers_are_spread_by_size(self, config, organisation):
        assert advise(config, organisation) == ["n0", "n1", "n2"]

    def test_unavailable_pooling_instance_is_left_out(self, config):
        assert advise(config, "small", pooling_instance="gone") == ["n0", "n1", "n2"]
