from collections import Counter
from types import SimpleNamespace

import pytest

from oriolepaddle.edge import InstanceResolver
from oriolepaddle.edge.resolver import MAX_ADDRESSES, EntryInstance

HOST = "desk.example"


def make_instance(name, region, size=1.0):
    return EntryInstance(name, region, f"{region}-a", name, size)


def make_resolver(instances, *residencies, leaving=()):
    routes = tuple(SimpleNamespace(residency=item) for item in residencies)
    document = SimpleNamespace(routes={HOST: routes})
    live = SimpleNamespace(
        entry_instances=lambda: instances, leaving_instances=lambda: leaving
    )
    return InstanceResolver(SimpleNamespace(document=document), live)


def count_addresses(resolver, callers=4000):
    counts = Counter()
    for caller in range(callers):
        addresses = resolver.resolve(HOST, "nordur", f"10.9.{caller}")
        assert len(addresses) == MAX_ADDRESSES
        counts.update(addresses)
    return counts


class TestInstanceResolver:
    @pytest.fixture
    def instances(self):
        regions = ("nordur", "sudur", "austur")
        return [make_instance(region, region) for region in regions]

    def test_returns_instances_of_the_callers_region(self, instances):
        resolver = make_resolver(instances, ("sudur",))
        assert resolver.resolve(HOST, "nordur", "c") == ("nordur",)

    def test_returns_regions_of_residency_when_the_own_has_no_instance(self, instances):
        # Some routes of the host have a residency and others don't.
        resolver = make_resolver(instances[1:], (), ("sudur",), ("sudur", "nordur"))
        assert resolver.resolve(HOST, "nordur", "c") == ("sudur",)

    def test_prefers_a_leaving_instance_to_other_regions(self, instances):
        """In a rolling restart, all instances of a region may be unready at once."""
        resolver = make_resolver(instances[1:], ("austur",), leaving=instances[:1])
        assert resolver.resolve(HOST, "nordur", "c") == ("nordur",)

    def test_returns_all_when_no_route_has_a_residency(self, instances):
        resolver = make_resolver(instances[1:], ())
        assert set(resolver.resolve(HOST, "nordur", "c")) == {"sudur", "austur"}

    def test_returns_other_regions_rather_than_nothing(self, instances):
        resolver = make_resolver(instances[2:], ("sudur",))
        assert resolver.resolve(HOST, "nordur", "c") == ("austur",)

    def test_returns_larger_instances_more_often_than_by_size(self):
        """Callers choose at random among the addresses that they get."""
        large = [make_instance(f"large{n}", "nordur", 2.0) for n in range(4)]
        small = [make_instance(f"small{n}", "nordur", 0.4) for n in range(30)]
        counts = count_addresses(make_resolver(large + small))
        ratio = counts["large0"] / counts["small0"]
        size_ratio = 2.0 / 0.4
        assert size_ratio < ratio < size_ratio**2
        assert all(counts[item.id] for item in small)

    def test_few_instances_place_most_requests_of_a_region(self):
        """Models one region of the largest deployments at its peak."""
        sizes = {"large": (2.15, 4), "middle": (1.29, 4), "small": (0.387, 18)}
        instances = [
            make_instance(f"{name}{n}", "nordur", size)
            for name, (size, count) in sizes.items()
            for n in range(count)
        ]
        counts = count_addresses(make_resolver(instances))
        larger_total = sum(
            count for name, count in counts.items() if not name.startswith("small")
        )
        assert larger_total >= 0.8 * counts.total()
        assert max(counts.values()) <= counts.total() / MAX_ADDRESSES

    def test_addresses_of_a_caller_are_stable(self):
        instances = [make_instance(f"n{n}", "nordur") for n in range(30)]
        before = make_resolver(instances).resolve(HOST, "nordur", "c")
        after = make_resolver(instances[1:]).resolve(HOST, "nordur", "c")
        assert len(set(before) & set(after)) >= MAX_ADDRESSES - 1
