from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.gossip.composer import Contact, LastHeard
from oriolepaddle.gossip.tests.fleet import GossipFleet

SECONDS = timedelta(seconds=1)
HOUR = timedelta(hours=1)


@pytest.fixture
def fleet():
    fleet = GossipFleet()
    fleet.add("n1", "nordur-a", 2.0)
    fleet.add("n2", "nordur-a", 2.0, seeds=["n1"])
    fleet.run(4 * SECONDS)
    return fleet


def compose(fleet, sender, receiver, **changes):
    """Return an announcement as a sender would write it with a changed contact."""
    node = fleet.nodes[sender]
    entry = node.roster.entry(receiver)
    held = node.announcer._contact(receiver)
    contact = attrs.evolve(held, last=attrs.evolve(held.last, **changes))
    return node.announcer._composer.compose(entry, contact)


class TestEcho:
    """The load: a machine loses power, and its clock begins anew with its next life.

    Others still answer what its earlier life sent, by that life's clock.
    """

    def test_of_this_life_confirms_what_is_known(self, fleet):
        node = fleet.nodes["n2"]
        fleet.nodes["n1"].state.catalog.confirm_version(
            fleet.clock.monotonic_s(), version=0
        )
        heard = compose(fleet, "n1", "n2")
        node.announcer._take_announcement(heard, (fleet.nodes["n1"].host, 0))
        assert node.state.catalog.age_s() < 1.0

    def test_of_an_earlier_life_confirms_nothing(self, fleet):
        node = fleet.nodes["n2"]
        fleet.nodes["n1"].state.catalog.confirm_version(
            fleet.clock.monotonic_s(), version=0
        )
        later_us = int((fleet.clock.monotonic_s() + HOUR.total_seconds()) * 1e6)
        heard = compose(fleet, "n1", "n2", incarnation=0, sent_at_us=later_us)
        node.announcer._take_announcement(heard, (fleet.nodes["n1"].host, 0))
        assert node.state.catalog.age_s() == float("inf")
        assert node.state.delegations.count() <= 2

    def test_names_the_life_that_it_is_of(self, fleet):
        heard = compose(fleet, "n1", "n2", incarnation=7, sent_at_us=5)
        assert (heard.echo_incarnation, heard.echo_us) == (7, 5)


class TestContact:
    def test_nothing_heard_gives_no_echo(self):
        clock = ManualClock()
        clock.advance(HOUR)
        assert Contact().last == LastHeard(0, 0, float("-inf"))
