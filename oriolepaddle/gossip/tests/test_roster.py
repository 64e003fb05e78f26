from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import Roster
from oriolepaddle.gossip.entry import RosterEntry

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
