import json
from datetime import timedelta

import attrs
import pytest

from oriolepaddle.settings import EdgeSettings, find_problems

REGIONS = json.dumps({"nordur-a": "nordur"})
VALID = EdgeSettings(
    instance="n1",
    data_centre="nordur-a",
    regions=REGIONS,
    caller_address="10.0.0.1:80",
    directory_address="10.0.0.1:81",
    peer_address="10.0.0.1:82",
    readiness_address="10.0.0.1:83",
    platform_address="10.0.0.9:80",
    peer_secret="a secret of the tests",
)


class TestEdgeSettings:
    def test_valid_settings_have_no_problem(self):
        assert find_problems(VALID) == []

    @pytest.mark.parametrize(
        ("changes", "flag"),
        [
            ({"instance": ""}, "--instance"),
            ({"caller_address": "nowhere"}, "--caller-address"),
            ({"peer_secret": "short"}, "--peer-secret"),
            ({"withdrawal_bound_ms": 500}, "--withdrawal-bound-ms"),
            ({"retry_ratio": 2.0}, "--retry-ratio"),
            ({"regions": "not json"}, "--regions"),
            ({"regions": "{}"}, "--regions"),
            ({"data_centre": "sudur-a"}, "--regions"),
        ],
    )
    def test_each_problem_is_named(self, changes, flag):
        problems = find_problems(attrs.evolve(VALID, **changes))
        assert any(flag in problem for problem in problems)

    def test_derived_limits_are_shorter_than_the_deployments_bounds(self):
        settings = attrs.evolve(VALID, withdrawal_bound_ms=3000, stop_grace_s=20)
        assert settings.max_catalog_age < timedelta(seconds=3)
        assert timedelta(seconds=19) < settings.drain_limit < timedelta(seconds=20)
