import random

import pytest

from oriolepaddle.placement.costs import RequestCosts


@pytest.fixture
def costs():
    return RequestCosts()


class TestRequestCosts:
    def test_learns_each_route(self, costs):
        for _ in range(100):
            costs.record("a", 100, 0.02)
            costs.record("b", 100, 0.4)
        assert costs.estimate("a", 100).mean_s == pytest.approx(0.02, rel=0.3)
        assert costs.estimate("b", 100).mean_s == pytest.approx(0.4, rel=0.1)

    def test_size_counts_where_it_predicts_the_cost(self, costs):
        for _ in range(200):
            costs.record("a", 100, 0.02)
            costs.record("a", 10_000, 0.4)
            costs.record("b", 100, 0.1)
            costs.record("b", 10_000, 0.1)
        small, large = (costs.estimate("a", size).mean_s for size in (100, 10_000))
        assert large > 8 * small
        small, large = (costs.estimate("b", size).mean_s for size in (100, 10_000))
        assert large == pytest.approx(small, rel=0.05)

    def test_unknown_route_has_the_cost_of_its_service(self, costs):
        for _ in range(200):
            costs.record("a", 100, 0.5)
        assert costs.estimate("new", 7).mean_s == pytest.approx(0.5, rel=0.1)

    def test_run_that_takes_longer_is_taken_for_a_long_one(self, costs):
        """Costs differ twentyfold under one route and size."""
        generator = random.Random(1)
        for _ in range(400):
            costs.record("a", 100, generator.choices((0.02, 0.4), (0.9, 0.1))[0])
        mean_s = costs.estimate("a", 100).mean_s
        assert costs.estimate_remainder_s(mean_s, 0.1) > 2.5 * mean_s
        assert costs.estimate("a", 100).spread_s > mean_s

    def test_equal_costs_have_a_remainder_that_shrinks(self, costs):
        for _ in range(400):
            costs.record("a", 100, 0.1)
        mean_s = costs.estimate("a", 100).mean_s
        assert costs.estimate_remainder_s(mean_s, 0.0) == pytest.approx(0.1, rel=0.1)
        assert costs.estimate_remainder_s(mean_s, 0.08) < 0.04

    def test_number_of_routes_and_sizes_is_bounded(self, costs):
        """Callers choose the sizes of their requests."""
        for size in range(0, 2**20, 99):
            costs.record(f"r{size}", size, 0.1)
        assert len(costs._averages) <= 256 * 24
