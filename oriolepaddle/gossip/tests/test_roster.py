from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import Roster
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.roster import COUNT_RETENTION, COUNTS_CACHE_S

REGIONS = {"nordur-a": "nordur"}


def make_instance(number, size):
    address = f"10.0.0.{number}:80"
    return EntryInstance(f"n{number}", "nordur", "nordur-a", address, size)


def make_entry(clock, number, size, **changes):
    entry = RosterEntry(
        make_instance(number, size),
        1,
        f"10.0.0.{number}:90",
        True,
        False,
        clock.monotonic_s(),
    )
    return attrs.evolve(entry, **changes)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(timedelta(seconds=10))
    return clock


@pytest.fixture
def roster(clock):
    roster = Roster(clock, make_instance(1, 1.0), 1, "10.0.0.1:90", REGIONS)
    for number in (2, 3):
        roster.record_entry(make_entry(clock, number, 2.0))
    return roster


def list_hub_ids(roster):
    return [item.id for item in roster.hubs()]


class TestHubs:
    def test_larger_new_instance_becomes_hub_at_once(self, clock, roster):
        assert list_hub_ids(roster) == ["n2", "n3"]
        roster.record_entry(make_entry(clock, 4, 3.0))
        assert list_hub_ids(roster) == ["n4", "n2"]

    def test_leaving_hub_is_replaced_at_once(self, clock, roster):
        assert list_hub_ids(roster) == ["n2", "n3"]
        clock.advance(timedelta(milliseconds=10))
        roster.record_entry(make_entry(clock, 2, 2.0, is_leaving=True))
        assert list_hub_ids(roster) == ["n3", "n1"]

    def test_own_leaving_counts_at_once(self, clock, roster):
        clock.advance(timedelta(milliseconds=10))
        roster.record_entry(make_entry(clock, 3, 2.0, is_leaving=True))
        assert roster.is_hub()
        roster.set_own(is_ready=False, is_leaving=True)
        assert list_hub_ids(roster) == ["n2"]

    def test_silent_hub_is_replaced(self, clock, roster):
        assert list_hub_ids(roster) == ["n2", "n3"]
        clock.advance(timedelta(seconds=2))
        roster.record_entry(make_entry(clock, 3, 2.0))
        clock.advance(timedelta(seconds=1))
        assert list_hub_ids(roster) == ["n3", "n1"]


class TestCounts:
    def test_grow_at_once(self, clock, roster):
        assert roster.count() == 3
        roster.record_entry(make_entry(clock, 4, 2.0))
        assert roster.count() == 4
        roster.record_counts({"nordur-a": 9})
        assert roster.count() == 9

    def test_of_an_instance_that_returns_grow_at_once(self, clock, roster):
        clock.advance(timedelta(seconds=61))
        assert roster.count() == 1
        roster.record_entry(make_entry(clock, 2, 2.0))
        assert roster.count() == 2

    def test_of_silent_instances_fall_soon(self, clock, roster):
        clock.advance(COUNT_RETENTION)
        assert roster.count() == 3
        clock.advance(timedelta(seconds=COUNTS_CACHE_S))
        assert roster.count() == 1

    def test_are_not_found_anew_for_each_request(self, clock, roster, monkeypatch):
        """A hub with a hundred neighbours needs the number for each draw of tokens."""
        found = []
        count_entries = Roster._count_entries
        monkeypatch.setattr(
            Roster,
            "_count_entries",
            lambda *args: found.append(1) or count_entries(*args),
        )
        for _ in range(100):
            roster.record_entry(make_entry(clock, 2, 2.0))
            roster.count()
            clock.advance(timedelta(milliseconds=1))
        assert len(found) == 1
