from datetime import timedelta

import pytest

from oriolepaddle.catalog import (
    CatalogChange,
    CatalogReading,
    EndpointState,
    RegisteredEndpoint,
)
from oriolepaddle.gossip.announcer import LONGEST_INTERVAL_S, SHORTEST_INTERVAL_S
from oriolepaddle.gossip.tests.fleet import GossipFleet
from oriolepaddle.placement import Job

SECONDS = timedelta(seconds=1)


@pytest.fixture
def fleet():
    """Two regions; the large instances come first and one of them is the seed."""
    fleet = GossipFleet()
    fleet.add("n1", "nordur-a", 2.0)
    fleet.add("n2", "nordur-b", 2.0, seeds=["n1"])
    for number in range(3, 9):
        fleet.add(f"n{number}", f"nordur-{'ab'[number % 2]}", 0.4, seeds=["n1"])
    for number in range(1, 6):
        size = 2.0 if number < 3 else 0.4
        fleet.add(f"s{number}", "sudur-a", size, seeds=["n1"])
    fleet.run(4 * SECONDS)
    return fleet


class TestSpread:
    def test_every_instance_knows_its_region(self, fleet):
        for name, instance in fleet.instances.items():
            near = {
                item.id for item in instance.roster.alive() if item.id[0] == name[0]
            }
            expected = {other for other in fleet.instances if other[0] == name[0]}
            assert near | {name} == expected

    def test_all_instances_agree_on_the_hubs(self, fleet):
        for name, instance in fleet.instances.items():
            assert {item.id for item in instance.roster.hubs()} == {
                f"{name[0]}1",
                f"{name[0]}2",
            }

    def test_every_instance_knows_some_of_the_other_region(self, fleet):
        for name, instance in fleet.instances.items():
            far = [item for item in instance.roster.alive() if item.id[0] != name[0]]
            assert len(far) >= 2

    def test_every_instance_counts_all(self, fleet):
        assert {instance.roster.count() for instance in fleet.instances.values()} == {
            13
        }

    def test_members_exchange_datagrams_with_hubs_only(self, fleet):
        before = fleet.sent
        fleet.run(4 * SECONDS)
        for_each_round = (fleet.sent - before) / 16
        # Each member and its two hubs, and each hub with the other hubs.
        assert for_each_round < 3 * 13 * 2

    def test_silent_hub_is_replaced(self, fleet):
        fleet.remove("n1")
        fleet.run(4 * SECONDS)
        for name, instance in fleet.instances.items():
            if name[0] == "n":
                hubs = [item.id for item in instance.roster.hubs()]
                assert hubs[0] == "n2"
                assert "n1" not in hubs

    def test_silent_instance_is_not_listed(self, fleet):
        fleet.remove("n5")
        fleet.run(4 * SECONDS)
        for instance in fleet.instances.values():
            assert "n5" not in [item.id for item in instance.roster.entry_instances()]

    def test_partitioned_regions_reconnect(self, fleet):
        pairs = {
            (one.host, other.host)
            for name, one in fleet.instances.items()
            for other_name, other in fleet.instances.items()
            if name[0] != other_name[0]
        }
        fleet.cut = pairs
        fleet.run(6 * SECONDS)
        instance = fleet.instances["s4"]
        assert all(item.id[0] == "s" for item in instance.roster.alive())
        fleet.cut = set()
        fleet.run(6 * SECONDS)
        assert any(item.id[0] == "n" for item in instance.roster.alive())


class TestRestart:
    def test_incarnation_after_a_clock_step_back_is_accepted(self, fleet):
        """Incarnations are numbered by the wall clock, which may step back."""
        host = fleet.remove("s4").host
        fleet.run(SECONDS)
        again = fleet.add("s4", "sudur-a", 0.4, seeds=["n1"], incarnation=0, host=host)
        fleet.run(4 * SECONDS)
        alive = {item.id for item in fleet.instances["s1"].roster.alive()}
        assert "s4" in alive
        assert again.roster.own_entry().incarnation > 1


class TestShares:
    def test_all_of_a_rate_is_minted(self, fleet):
        fleet.run(2 * SECONDS)
        assert fleet.sum_shares() == pytest.approx(1.0)

    def test_no_share_is_minted_twice_while_hubs_change(self, fleet):
        fleet.run(2 * SECONDS)
        lost_hub = fleet.remove("n1")
        for _ in range(24):
            fleet.run(timedelta(milliseconds=250))
            minted = lost_hub.state.delegations.count() / lost_hub.roster.count()
            assert fleet.sum_shares() + minted <= 1.0 + 1e-9
        assert fleet.sum_shares() > 0.9

    def test_partitioned_fleet_does_not_mint_more(self, fleet):
        hosts = [instance.host for instance in fleet.instances.values()]
        fleet.cut = {(one, other) for one in hosts[:6] for other in hosts[6:]}
        for _ in range(40):
            fleet.run(timedelta(milliseconds=250))
            assert fleet.sum_shares() <= 1.0 + 1e-9


def read_store(instance, *endpoints):
    """Make an instance read a store that contains only these endpoints."""
    changes = tuple(
        CatalogChange(f"servers/{item.id}", endpoint=item) for item in endpoints
    )
    clock = instance.state.catalog._clock
    reading = CatalogReading(changes, 1, is_whole=True)
    instance.state.catalog.apply(reading, clock.monotonic_s())


class TestCatalogAge:
    def test_is_relayed_with_its_age(self, fleet):
        hub = fleet.instances["n1"]
        read_store(hub)
        fleet.run(SECONDS)
        member = fleet.instances["n6"].state.catalog
        assert hub.state.catalog.age_s() <= member.age_s() < 10

    def test_delayed_datagram_makes_nothing_fresh(self, fleet):
        hub, member = fleet.instances["n1"], fleet.instances["n6"]
        read_store(hub)
        member.announcer._send_round()
        fleet.deliver()
        hub.announcer._send_round()
        delayed = [item for item in fleet.wire if item[1] == member.host]
        fleet.wire.clear()
        fleet.clock.advance(30 * SECONDS)
        for source, _, datagram in delayed:
            member.announcer._handle_datagram(datagram, (source, 7600))
        assert member.state.catalog.age_s() >= 30
        assert member.state.catalog.endpoints_age_s() >= 30


class TestInterval:
    """An instance with running requests announces at the shortest interval.

    Otherwise the many instances of a large region send to the same endpoints, since
    they do not know of each other's requests yet.
    """

    ENDPOINT = RegisteredEndpoint(
        "e1", 1, "engines", "10.1.0.1:80", "nordur-a", 6, EndpointState.READY
    )

    def test_busy_instance_announces_more_often_in_a_large_region(self):
        fleet = GossipFleet()
        for number in range(1, 31):
            seeds = ["n1"] if number > 1 else []
            fleet.add(f"n{number}", f"nordur-{'ab'[number % 2]}", 1.0, seeds=seeds)
        fleet.run(4 * SECONDS)
        instance = fleet.instances["n7"]
        assert instance.announcer._interval_s() == LONGEST_INTERVAL_S
        read_store(instance, self.ENDPOINT)
        placer = instance.state.placer
        job = Job("engines", (), 600, 100)
        placed = placer.start(placer.choose(job), job)
        assert instance.announcer._interval_s() == SHORTEST_INTERVAL_S
        placed.end()
        assert instance.announcer._interval_s() == LONGEST_INTERVAL_S


class TestEndpoints:
    """An endpoint leaves while one hub is cut off from the store."""

    ENDPOINT = RegisteredEndpoint(
        "e1", 1, "desk", "10.1.0.1:80", "nordur-a", 6, EndpointState.READY
    )

    @pytest.fixture
    def hubs(self, fleet):
        self.outcomes = []
        fetch = fleet.fetch

        def fetch_and_record(catalog, address):
            fetch(catalog, address)
            self.outcomes.append((catalog, catalog.may_send(self.ENDPOINT)))

        fleet.fetch = fetch_and_record
        hubs = fleet.instances["n1"], fleet.instances["n2"]
        for hub in hubs:
            read_store(hub, self.ENDPOINT)
        fleet.run(SECONDS)
        assert fleet.instances["n6"].state.catalog.may_send(self.ENDPOINT)
        return hubs

    def read_on(self, fleet, hub, rounds):
        """Let one hub go on reading, so that all keep the document confirmed."""
        for _ in range(rounds):
            read_store(hub)
            fleet.run(timedelta(milliseconds=250))

    def test_are_not_restored_on_members(self, fleet, hubs):
        # The stale hub receives datagrams from members only, which have no other
        # source than gossip.
        others = (hubs[1], fleet.instances["s1"], fleet.instances["s2"])
        fleet.cut |= {(hubs[0].host, other.host) for other in others}
        self.read_on(fleet, hubs[1], 8)
        assert not fleet.instances["n6"].state.catalog.may_send(self.ENDPOINT)
        self.outcomes.clear()
        self.read_on(fleet, hubs[1], 24)
        member = fleet.instances["n6"].state.catalog
        assert (member, True) not in self.outcomes

    def test_are_removed_on_the_hub_that_is_cut_off(self, fleet, hubs):
        self.read_on(fleet, hubs[1], 24)
        assert not hubs[0].state.catalog.may_send(self.ENDPOINT)


class TestLeaving:
    def test_is_listed_only_shortly_after_it_began(self, fleet):
        instance = fleet.instances["n7"]
        instance.roster.set_own(False, True)
        instance.announcer._refresh = lambda: None
        fleet.run(SECONDS)
        leaving = fleet.instances["n6"].roster.leaving_instances
        assert [item.id for item in leaving()] == ["n7"]
        fleet.run(3 * SECONDS)
        assert leaving() == []


class TestCost:
    def test_hub_reads_its_state_once_for_all_receivers(self, fleet):
        """Guards against a hub computing its state anew for each datagram.

        Each member of a region receives several datagrams a second from it.
        """
        catalog = fleet.instances["n1"].state.catalog
        read_digest = catalog.digest
        calls = []

        def count_digest():
            calls.append(1)
            return read_digest()

        catalog.digest = count_digest
        read_store(fleet.instances["n1"])
        fleet.run(4 * SECONDS)
        # Sixteen rounds with nine receivers, each of which also gets replies.
        assert len(calls) <= 20
