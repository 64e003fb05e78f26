import random
import threading
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.membership import (
    LoadSummary,
    Membership,
    MembershipHandler,
    MemberStatus,
)
from oriolepaddle.membership.member import Member
from oriolepaddle.membership.table import MemberTable
from oriolepaddle.membership.tests.network import Network
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList, InstanceState

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
STEP = timedelta(milliseconds=500)


def make_instance(name, state=InstanceState.LIVE, size=1.0):
    data_centre = name.split("-")[0]
    return Instance(name, data_centre, f"{name}:80", f"{name}:81", state, size)


class Fleet:
    def __init__(self, names):
        self.clock = ManualClock()
        self.network = Network()
        self.members = {}
        self.revision = 1
        for name in names:
            self.add(name)
        self.publish()

    def add(self, name, incarnation=1, seeds=()):
        data_centre = name.split("-")[0]
        member = Membership(
            self.clock,
            PeerIdentity(name, incarnation, data_centre),
            make_instance(name),
            self.network.caller(name),
            lambda: (incarnation, 1),
            REGIONS.get,
            random.Random(1),
            seeds,
        )
        member.set_ready(True)
        self.network.attach(name, "membership", MembershipHandler(member))
        self.members[name] = member
        self.network.down.discard(name)
        return member

    def remove(self, name):
        self.network.down.add(name)
        del self.members[name]

    def make_list(self, names=None, **states):
        names = self.members if names is None else names
        return InstanceList(
            tuple(
                make_instance(name, states.get(name.replace("-", "_"), "live"))
                for name in names
            ),
            self.revision,
            self.clock.monotonic_s(),
        )

    def publish(self, names=None):
        self.revision += 1
        for member in self.members.values():
            member.apply_list(self.make_list(names))

    def run(self, seconds):
        for _ in range(int(seconds / STEP.total_seconds())):
            for member in list(self.members.values()):
                member.tick()
            self.clock.advance(STEP)

    def status(self, name):
        return {
            other: member.status(name)
            for other, member in self.members.items()
            if other != name
        }


NAMES = [f"{place}-{number}" for place in REGIONS for number in range(2)]


@pytest.fixture
def fleet():
    fleet = Fleet(NAMES)
    fleet.run(6)
    return fleet


class TestReachable:
    def test_mesh_is_reachable(self, fleet):
        assert "a1-1" in fleet.members["a1-0"].reachable()

    def test_pause_makes_all_unreachable_until_they_answer(self, fleet):
        fleet.clock.advance(timedelta(minutes=5))
        member = fleet.members["a1-0"]
        assert member.reachable() == frozenset()
        member.tick()
        assert "a1-1" in member.reachable()

    def test_one_way_cut_counts_on_the_side_that_cannot_call(self, fleet):
        fleet.network.cut.add(("a1-0", "a1-1"))
        fleet.run(20)
        assert "a1-1" not in fleet.members["a1-0"].reachable()
        assert "a1-0" in fleet.members["a1-1"].reachable()

    @pytest.mark.parametrize("fault", ["request", "reply", "double"])
    def test_recovers_after_faulty_messages(self, fleet, fault):
        generator = random.Random(5)
        fleet.network.lose = lambda *call: fault if generator.random() < 0.5 else None
        fleet.run(30)
        fleet.network.lose = lambda *call: None
        fleet.run(20)
        for name, member in fleet.members.items():
            mesh = {other for other in NAMES if other[:2] == name[:2]} - {name}
            assert mesh <= member.reachable()


class TestStatus:
    def test_vanished_is_distinguished_from_leaving(self, fleet):
        fleet.members["a1-1"].begin_leaving()
        fleet.run(2)
        fleet.remove("a1-1")
        fleet.remove("a2-1")
        fleet.run(30)
        assert fleet.members["a1-0"].status("a1-1") is MemberStatus.LEAVING
        assert fleet.members["a2-0"].status("a2-1") is MemberStatus.VANISHED

    def test_leaving_spreads_without_the_list(self, fleet):
        fleet.members["b2-1"].begin_leaving()
        fleet.run(5)
        assert set(fleet.status("b2-1").values()) == {MemberStatus.LEAVING}

    def test_old_list_does_not_replace_a_new_one(self, fleet):
        old = fleet.make_list(NAMES[:1])
        fleet.publish()
        member = fleet.members["a1-0"]
        assert not member.apply_list(old)
        assert len(member.published().instances) == len(NAMES)

    def test_stale_list_does_not_reset_leaving(self, fleet):
        fleet.members["a1-1"].begin_leaving()
        fleet.run(2)
        fleet.publish()
        assert fleet.members["a1-0"].status("a1-1") is MemberStatus.LEAVING

    def test_restart_overrides_leaving_everywhere(self, fleet):
        fleet.members["a1-1"].begin_leaving()
        fleet.run(5)
        fleet.remove("a1-1")
        fleet.add("a1-1", incarnation=2).apply_list(fleet.make_list(NAMES))
        fleet.run(20)
        assert MemberStatus.LEAVING not in fleet.status("a1-1").values()
        assert fleet.members["a1-0"].incarnation("a1-1") == 2

    def test_listed_leaving_yields_to_a_later_incarnation_only(self, fleet):
        fleet.revision += 1
        states = fleet.make_list(a1_1=InstanceState.LEAVING)
        member = fleet.members["a1-0"]
        member.apply_list(states)
        fleet.run(5)
        assert member.status("a1-1") is MemberStatus.LEAVING
        fleet.add("a1-1", incarnation=2).apply_list(states)
        fleet.run(20)
        assert member.status("a1-1") is MemberStatus.REACHABLE


class TestIncarnation:
    def test_lower_incarnation_never_replaces_a_higher(self, fleet):
        old = fleet.members["a1-1"]
        fleet.add("a1-1", incarnation=5).apply_list(fleet.make_list(NAMES))
        fleet.run(10)
        old.tick()
        fleet.clock.advance(timedelta(seconds=20))
        old.tick()
        assert fleet.members["a1-0"].incarnation("a1-1") == 5
        assert old.is_superseded
        assert not fleet.members["a1-1"].is_superseded

    def test_relayed_record_of_a_lower_incarnation_is_ignored(self):
        table = MemberTable(Member(make_instance("a1-0"), 1, 0.0))
        table.merge(Member(make_instance("a1-1"), 5, 0.0))
        leaving = make_instance("a1-1", InstanceState.LEAVING)
        assert not table.merge(Member(leaving, 4, 9.0))
        assert table.incarnation("a1-1") == 5
        assert not table.is_leaving("a1-1")


class TestPlatformDown:
    def test_replacement_of_every_instance_without_the_list(self, fleet):
        for number, name in enumerate(NAMES):
            fleet.members[name].begin_leaving()
            fleet.run(3)
            fleet.remove(name)
            seed = make_instance(next(iter(fleet.members)))
            fleet.add(f"{name[:2]}-{number + 10}", seeds=(seed,))
            fleet.run(15)
        for member in fleet.members.values():
            usable = member.suggest_instances(None, 100).instances
            assert {instance.id for instance in usable} == set(fleet.members)

    def test_vanished_unlisted_instance_is_forgotten(self, fleet):
        fleet.add("a1-9", seeds=(make_instance("a1-0"),))
        fleet.run(10)
        assert fleet.members["b2-0"].instance("a1-9") is not None
        fleet.remove("a1-9")
        fleet.run(700)
        for member in fleet.members.values():
            assert member.instance("a1-9") is None


class TestPartition:
    def test_split_fleet_heals(self, fleet):
        fleet.network.split(NAMES[:3], NAMES[3:])
        fleet.run(60)
        fleet.network.cut.clear()
        fleet.run(20)
        fleet.members["a1-0"].begin_leaving()
        fleet.run(10)
        assert set(fleet.status("a1-0").values()) == {MemberStatus.LEAVING}


class TestSuggestInstances:
    def test_names_no_leaving_vanished_or_unready_instance(self, fleet):
        fleet.members["a1-1"].begin_leaving()
        fleet.remove("a2-0")
        fleet.members["a2-1"].set_ready(False)
        fleet.run(30)
        member = fleet.members["a1-0"]
        names = [i.id for i in member.suggest_instances("a", 10).instances]
        assert "a1-1" not in names
        assert names[0] == "a1-0"
        linked = set(member.links().all)
        assert not {"a2-0", "a2-1"} & linked & set(names)

    def test_weights_by_size(self):
        fleet = Fleet(["a1-0"])
        member = fleet.members["a1-0"]
        instances = (make_instance("a1-0", size=1.0), make_instance("a1-1", size=9.0))
        member.apply_list(InstanceList(instances, 9, 0.0))
        first = [member.suggest_instances("a1", 1).instances[0].id for _ in range(1000)]
        assert 850 < first.count("a1-1") < 950


class TestLoadSummaries:
    def test_spread_to_all_and_age(self, fleet):
        summary = LoadSummary("b2", "chat", timedelta(seconds=1), 4)
        fleet.members["b2-0"].publish_load(summary)
        fleet.run(30)
        for member in fleet.members.values():
            (received,) = member.load_summaries()
            assert received.free_slots == 4
            assert received.age == timedelta(seconds=30)

    def test_fresher_summary_wins(self, fleet):
        member = fleet.members["a1-0"]
        member.publish_load(LoadSummary("a1", "chat", timedelta(), 1))
        late = LoadSummary("a1", "chat", timedelta(), 9, timedelta(seconds=5))
        member.publish_load(late)
        assert member.load_summaries()[0].free_slots == 1


class TestThreads:
    def test_start_and_stop(self):
        fleet = Fleet(NAMES)
        member = fleet.members["a1-0"]
        called = threading.Event()
        fleet.network.lose = lambda *call: called.set()
        member.start()
        assert called.wait(timeout=60)
        member.stop()
        assert member.reachable()
