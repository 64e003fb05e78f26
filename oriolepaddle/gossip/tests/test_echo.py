from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.gossip.composer import Contact, LastAnnouncement
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
    """Return the announcement that a sender composes for a changed contact."""
    instance = fleet.instances[sender]
    entry = instance.roster.entry(receiver)
    stored = instance.announcer._contact(receiver)
    contact = attrs.evolve(
        stored, last_announcement=attrs.evolve(stored.last_announcement, **changes)
    )
    return instance.announcer._composer.compose(entry, contact)


class TestEcho:
    """A power loss resets a machine's clock before its next incarnation.

    Other instances may still echo times that its earlier incarnation sent, by that
    incarnation's clock.
    """

    def test_of_this_incarnation_confirms_the_catalog(self, fleet):
        instance = fleet.instances["n2"]
        fleet.instances["n1"].state.catalog.confirm_version(
            fleet.clock.monotonic_s(), version=0
        )
        announcement = compose(fleet, "n1", "n2")
        instance.announcer._handle_announcement(
            announcement, (fleet.instances["n1"].host, 0)
        )
        assert instance.state.catalog.age_s() < 1.0

    def test_of_an_earlier_incarnation_confirms_nothing(self, fleet):
        instance = fleet.instances["n2"]
        fleet.instances["n1"].state.catalog.confirm_version(
            fleet.clock.monotonic_s(), version=0
        )
        later_us = int((fleet.clock.monotonic_s() + HOUR.total_seconds()) * 1e6)
        announcement = compose(fleet, "n1", "n2", incarnation=0, sent_at_us=later_us)
        instance.announcer._handle_announcement(
            announcement, (fleet.instances["n1"].host, 0)
        )
        assert instance.state.catalog.age_s() == float("inf")
        assert instance.state.delegations.count() <= 2

    def test_names_its_incarnation(self, fleet):
        announcement = compose(fleet, "n1", "n2", incarnation=7, sent_at_us=5)
        assert (announcement.echo_incarnation, announcement.echo_us) == (7, 5)


class TestContact:
    def test_no_announcement_gives_no_echo(self):
        clock = ManualClock()
        clock.advance(HOUR)
        assert Contact().last_announcement == LastAnnouncement(0, 0, float("-inf"))
