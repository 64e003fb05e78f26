import random
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import RegionLoads, Roster, RosterEntry

REGIONS = {"nordur-a": "nordur", "sudur-a": "sudur"}


def make_instance(name, data_centre):
    return EntryInstance(name, REGIONS[data_centre], data_centre, f"{name}:80")


class TestRegionLoads:
    @pytest.fixture
    def clock(self):
        return ManualClock()

    @pytest.fixture
    def roster(self, clock):
        return Roster(clock, make_instance("n1", "nordur-a"), 1, "n1:81", REGIONS)

    @pytest.fixture
    def loads(self, clock, roster):
        loads = RegionLoads(clock, roster, 0.16, random.Random(1))
        loads.record_wait("sudur", "desk", 0.05, clock.monotonic_s())
        return loads

    def record(self, clock, roster, is_ready=True, is_leaving=False):
        instance = make_instance("s1", "sudur-a")
        last_seen_s = clock.monotonic_s()
        roster.record_entry(
            RosterEntry(instance, 1, "s1:81", is_ready, is_leaving, last_seen_s)
        )

    def test_expected_time_includes_the_round_trip(self, clock, roster, loads):
        self.record(clock, roster)
        choice = loads.choose("desk", 0, ())
        assert (choice.instance, choice.address) == ("s1", "s1:81")
        assert choice.expected_s == pytest.approx(0.21)

    def test_does_not_choose_a_leaving_instance(self, clock, roster, loads):
        self.record(clock, roster, is_leaving=True)
        assert loads.choose("desk", 0, ()) is None

    def test_keeps_to_the_regions_of_residency(self, clock, roster, loads):
        self.record(clock, roster)
        assert loads.choose("desk", 0, (("nordur",),)) is None

    def test_ignores_old_waits(self, clock, roster, loads):
        clock.advance(timedelta(seconds=3))
        self.record(clock, roster)
        assert loads.choose("desk", 0, ()) is None
