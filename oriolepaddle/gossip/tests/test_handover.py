import random
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import RegionLoads, Roster, RosterEntry
from oriolepaddle.gossip.handover import ForwardedRequests, WaitDrift
from oriolepaddle.gossip.region_waits import (
    AnnouncedWait,
    read_wait,
    write_own_wait,
    write_wait,
)
from oriolepaddle.peers.gen_py.gossip.ttypes import RegionWait

REGIONS = {"nordur-a": "nordur", "sudur-a": "sudur", "vestur-a": "vestur"}
ROUND_TRIP_S = 0.16
ADDED_WAIT_S = 0.02
LIMIT_S = 0.6


class TestWaitDrift:
    def test_spread_follows_the_observed_changes_and_the_age(self):
        drift = WaitDrift()
        for number in range(100):
            drift.record(0.1 * (number % 2), 0.25 * number)
        assert drift.spread_s(0.25) == pytest.approx(0.1, rel=0.05)
        assert drift.spread_s(1.0) == pytest.approx(0.2, rel=0.05)

    def test_steady_wait_has_none(self):
        drift = WaitDrift()
        for number in range(10):
            drift.record(0.3, 0.25 * number)
        assert drift.spread_s(1.0) == 0.0

    def test_ignores_a_reading_that_came_on_two_ways_and_unavailability(self):
        drift = WaitDrift()
        drift.record(0.1, 1.0)
        drift.record(0.2, 1.001)
        drift.record(float("inf"), 1.5)
        drift.record(0.1, 2.0)
        assert drift.spread_s(1.0) == 0.0


class TestForwardedRequests:
    def test_constant_rate_does_not_grow(self):
        """Guards against counting twice what the region's report has already."""
        forwarded = ForwardedRequests()
        for number in range(100):
            forwarded.record(100 + 0.05 * number, 500)
        growth, tokens = forwarded.find_growth(104.96, 0.5)
        assert abs(growth) <= 1
        assert tokens == 500

    def test_counts_a_peak_that_begins(self):
        forwarded = ForwardedRequests()
        forwarded.record(98.0, 500)
        for _ in range(10):
            forwarded.record(100.0, 900)
        assert forwarded.find_growth(100.2, 0.5) == (10, 900)


class TestRecord:
    def test_carries_the_use_and_the_age(self):
        record = write_own_wait("sudur", "desk", 0.1, 0.25)
        passed_on = write_wait(read_wait(record, 10.0), 10.5)
        assert read_wait(passed_on, 20.0) == AnnouncedWait(
            "sudur", "desk", 0.1, 19.5, 0.25
        )

    def test_region_that_does_not_tell_its_use_has_nothing_free(self):
        assert read_wait(RegionWait("sudur", "desk", 100, 0), 1.0).used_fraction == 1.0


class TestChooseByShare:
    @pytest.fixture
    def clock(self):
        clock = ManualClock()
        clock.advance(timedelta(seconds=100))
        return clock

    @pytest.fixture
    def roster(self, clock):
        own = EntryInstance("n1", "nordur", "nordur-a", "n1:80")
        roster = Roster(clock, own, 1, "n1:81", REGIONS)
        roster.set_own(True, False)
        return roster

    @pytest.fixture
    def loads(self, clock, roster):
        for name in ("nordur", "sudur", "vestur"):
            self.add(clock, roster, f"{name}2", name)
        return RegionLoads(
            clock, roster, ROUND_TRIP_S, random.Random(1), lambda *_: ADDED_WAIT_S
        )

    def add(self, clock, roster, name, region, size=1.0):
        instance = EntryInstance(name, region, f"{region}-a", f"{name}:80", size)
        roster.record_entry(
            RosterEntry(instance, 1, f"{name}:81", True, False, clock.monotonic_s())
        )

    def announce(self, clock, loads, wait_s, used=1.0, region="sudur"):
        now_s = clock.monotonic_s()
        loads.record(AnnouncedWait(region, "desk", wait_s, now_s, used))

    def count_forwarded(self, loads, residency=()):
        """Forward until the region is expected to be late."""
        for count in range(1000):
            choice = loads.choose_by_share("desk", 0, residency, LIMIT_S)
            if choice is None:
                return count
            loads.record_sent(choice, "desk", 0)
        return None

    def test_assumes_that_the_region_s_other_instances_forward_as_well(
        self, clock, roster, loads
    ):
        """Guards against a stampede into a region that reports a short wait."""
        self.announce(clock, loads, 0.1)
        slots = (LIMIT_S - ROUND_TRIP_S - 0.1) / ADDED_WAIT_S
        assert self.count_forwarded(loads) == pytest.approx(slots / 2, abs=1)

    def test_hands_over_more_to_a_region_with_free_capacity(self, clock, loads):
        self.announce(clock, loads, 0.1, used=0.0)
        free_s = ROUND_TRIP_S + 0.25
        slots = (LIMIT_S - ROUND_TRIP_S - 0.1 + free_s) / ADDED_WAIT_S
        assert self.count_forwarded(loads) == pytest.approx(slots / 2, abs=1)

    def test_keeps_to_residency_and_recent_reports(self, clock, roster, loads):
        self.announce(clock, loads, 0.1)
        assert self.count_forwarded(loads, (("vestur",),)) == 0
        clock.advance(timedelta(seconds=2.5))
        self.add(clock, roster, "sudur2", "sudur")
        assert loads.choose_by_share("desk", 0, (), LIMIT_S) is None

    def test_region_that_is_lost_and_restored(self, clock, loads):
        self.announce(clock, loads, 0.1)
        self.announce(clock, loads, float("inf"))
        assert loads.choose_by_share("desk", 0, (), LIMIT_S) is None
        clock.advance(timedelta(seconds=0.25))
        self.announce(clock, loads, 0.1)
        assert loads.choose_by_share("desk", 0, (), LIMIT_S).region == "sudur"

    def test_older_report_that_changed_gets_a_smaller_share(self, clock, roster, loads):
        for number in range(40):
            self.add(clock, roster, "sudur2", "sudur")
            self.announce(clock, loads, 0.2 + 0.1 * (number % 2))
            clock.advance(timedelta(seconds=0.25))
        shares = []
        for _ in range(2):
            drawn = [loads.choose_by_share("desk", 0, (), LIMIT_S) for _ in range(400)]
            shares.append(sum(item is not None for item in drawn))
            clock.advance(timedelta(seconds=0.7))
        assert 400 > shares[0] > shares[1] > 200
