import pytest

from oriolepaddle.membership.links import choose_links


def make_members(data_centres, instances):
    return {
        f"dc{place}": [f"dc{place}-{number}" for number in range(instances)]
        for place in range(data_centres)
    }


def choose_all(members, region_of, down=frozenset(), cut=lambda a, b: False):
    """Choose links for all instances, given what each cannot reach."""
    links = {}
    for data_centre, names in members.items():
        for own in names:
            if own not in down:
                links[own] = choose_links(
                    own,
                    data_centre,
                    members,
                    region_of,
                    lambda name, own=own: name in down or cut(own, name),
                )
    return links


def count_components(links, cut=lambda a, b: False):
    neighbours = {name: set() for name in links}
    for name, choice in links.items():
        for other in choice.all:
            if other in links and not cut(name, other):
                neighbours[name].add(other)
                neighbours[other].add(name)
    left, components = set(links), 0
    while left:
        components += 1
        stack = [left.pop()]
        while stack:
            found = neighbours[stack.pop()] & left
            left -= found
            stack.extend(found)
    return components


def region_of(data_centre):
    return f"r{int(data_centre[2:]) // 3}"


class TestChooseLinks:
    @pytest.mark.parametrize(
        ("data_centres", "instances"),
        [(1, 1), (2, 1), (3, 2), (6, 1), (12, 2), (52, 8)],
    )
    def test_connects_the_fleet(self, data_centres, instances):
        links = choose_all(make_members(data_centres, instances), region_of)
        assert count_components(links) == 1

    def test_outer_links_stay_few_as_the_fleet_grows(self):
        links = choose_all(make_members(52, 8), region_of)
        outer = [len(choice.outer) for choice in links.values()]
        assert sum(outer) / len(outer) <= 4

    def test_isolated_region_stays_connected(self):
        members = make_members(52, 2)

        def cut(one, other):
            return region_of(one.split("-")[0]) != region_of(other.split("-")[0])

        links = choose_all(members, region_of, cut=cut)
        inside = {
            name: choice
            for name, choice in links.items()
            if region_of(name.split("-")[0]) == "r0"
        }
        assert count_components(inside) == 1

    def test_any_set_of_data_centres_stays_connected(self):
        members = make_members(20, 3)

        def cut(one, other):
            side = [int(name.split("-")[0][2:]) % 7 == 3 for name in (one, other)]
            return side[0] != side[1]

        links = choose_all(members, region_of, cut=cut)
        assert count_components(links, cut) == 2

    def test_vanished_instances_of_links_are_replaced(self):
        members = make_members(6, 4)
        down = {f"dc{place}-{n}" for place in range(6) for n in range(2)}
        assert count_components(choose_all(members, region_of, down)) == 1

    def test_only_running_instance_of_each_data_centre_is_found(self):
        members = make_members(12, 5)
        down = {name for names in members.values() for name in names[:4]}
        links = choose_all(members, region_of, down)
        assert count_components(links) == 1
