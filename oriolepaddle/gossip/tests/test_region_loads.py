import random
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import RegionLoads, Roster, RosterEntry
from oriolepaddle.gossip.region_waits import AnnouncedWait

REGIONS = {"nordur-a": "nordur", "sudur-a": "sudur"}

ADDED_WAIT_S = 0.08 / 6
"""That of one endpoint with six slots."""
TARGET_S = 0.4


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
        loads = RegionLoads(
            clock, roster, 0.16, random.Random(1), lambda *_: ADDED_WAIT_S
        )
        loads.record(AnnouncedWait("sudur", "desk", 0.05, clock.monotonic_s()))
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

    def test_requests_of_a_lost_endpoint_are_forwarded(self, clock, roster, loads):
        """The own region's only endpoint is gone, and 20 requests a second were there.

        The other region has slots for more than 100 a second beside its own.
        """
        refused = 0
        for _ in range(60):
            self.record(clock, roster)
            loads.record(AnnouncedWait("sudur", "desk", 0.05, clock.monotonic_s()))
            choice = loads.choose("desk", 0, ())
            if choice.expected_s > TARGET_S:
                refused += 1
            else:
                loads.record_sent(choice, "desk", 0)
            clock.advance(timedelta(milliseconds=50))
        assert refused == 0

    def test_burst_beyond_the_region_is_refused(self, clock, roster, loads):
        self.record(clock, roster)
        forwarded = 0
        while loads.choose("desk", 0, ()).expected_s <= TARGET_S:
            loads.record_sent(loads.choose("desk", 0, ()), "desk", 0)
            forwarded += 1
        assert forwarded == pytest.approx((TARGET_S - 0.21) / ADDED_WAIT_S, abs=1)
