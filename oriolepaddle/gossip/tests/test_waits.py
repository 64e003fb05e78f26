"""What instances know of the waits of other regions.

The load: a region's endpoints are all evacuated, cold or gone at once, while the
other regions are busy and look for a region that is less so.
"""

from datetime import timedelta

import pytest

from oriolepaddle.gossip.region_waits import AnnouncedWait
from oriolepaddle.gossip.tests.fleet import GossipFleet

SECONDS = timedelta(seconds=1)
MAX_AGE = 2 * SECONDS
ROUNDS = 1 * SECONDS


class Estimate:
    """The own region's wait in seconds, or None, in place of a placer's."""

    def __init__(self, wait_s):
        self.wait_s = wait_s

    def estimate_s(self, service, tokens):
        return self.wait_s


@pytest.fixture
def fleet():
    fleet = GossipFleet()
    fleet.add("n1", "nordur-a", 2.0)
    fleet.add("n2", "nordur-b", 2.0, seeds=["n1"])
    fleet.add("n3", "nordur-a", 0.4, seeds=["n1"])
    fleet.add("s1", "sudur-a", 2.0, seeds=["n1"])
    fleet.add("s2", "sudur-a", 2.0, seeds=["n1"])
    for instance in fleet.instances.values():
        composer = instance.announcer._composer
        wait_s = 0.05 if instance.roster.own.region == "sudur" else 0.4
        instance.estimate = Estimate(wait_s)
        composer.estimate_wait_s = instance.estimate.estimate_s
        composer.list_services = lambda: ["desk"]
    fleet.run(4 * SECONDS)
    return fleet


def find_choices(fleet):
    return {
        name: instance.state.loads.choose("desk", 0, ())
        for name, instance in fleet.instances.items()
        if instance.roster.own.region == "nordur"
    }


class TestRegionsWait:
    def test_reaches_every_instance(self, fleet):
        choices = find_choices(fleet)
        assert {choice.region for choice in choices.values()} == {"sudur"}

    def test_unavailable_region_is_left_at_once(self, fleet):
        for name in ("s1", "s2"):
            fleet.instances[name].estimate.wait_s = None
        fleet.run(ROUNDS)
        assert set(find_choices(fleet).values()) == {None}

    def test_silent_region_is_not_kept_alive_by_its_listeners(self, fleet):
        # The hubs of a region tell each other of other regions. Each once took the
        # other's word for new, so that a wait never grew old.
        for name in ("s1", "s2"):
            fleet.instances[name].announcer._composer.list_services = list
        fleet.run(MAX_AGE + ROUNDS)
        assert set(find_choices(fleet).values()) == {None}

    def test_relayed_wait_does_not_replace_a_newer_one(self, fleet):
        loads = fleet.instances["n1"].state.loads
        now_s = fleet.clock.monotonic_s()
        loads.record(AnnouncedWait("sudur", "desk", 0.9, now_s))
        loads.record(AnnouncedWait("sudur", "desk", 0.1, now_s - 0.5))
        choice = loads.choose("desk", 0, ())
        assert choice.expected_s > 0.9
