from datetime import timedelta

import pytest

from oriolepaddle.crashes import RequestKeys
from oriolepaddle.crashes.keys import MAX_PARTS, make_request_keys
from oriolepaddle.errors import RefusedError
from oriolepaddle.gossip.codec import write_datagram
from oriolepaddle.gossip.composer import Contact
from oriolepaddle.gossip.socket import MAX_DATAGRAM_BYTES
from oriolepaddle.gossip.tests.fleet import GossipFleet
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

SECONDS = timedelta(seconds=1)
SPREAD_TIME = 3 * SECONDS
"""Half of the time after which an instance counts as in touch."""
DEADLY = RequestKeys("request:next", frozenset({"s/deadly"}))


@pytest.fixture
def fleet():
    fleet = GossipFleet()
    for number in range(1, 21):
        fleet.add(f"n{number}", "nordur-a", 0.4, seeds=["n1"] if number > 1 else ())
        fleet.add(f"s{number}", "sudur-a", 0.4, seeds=["n1"])
    fleet.run(4 * SECONDS)
    return fleet


def record_crash(instance, number):
    keys = RequestKeys(f"request:{number}", frozenset({"s/deadly"}))
    instance.state.crashes.record_crash(f"e{number}@1", keys, has_begun=True)


def is_refused(instance):
    try:
        instance.state.crashes.check(DEADLY)
    except RefusedError:
        return True
    return False


class TestCrashReports:
    def test_reach_all_instances(self, fleet):
        record_crash(fleet.instances["n20"], 1)
        record_crash(fleet.instances["s20"], 2)
        fleet.run(SPREAD_TIME)
        assert all(is_refused(instance) for instance in fleet.instances.values())

    def test_outlive_the_instances_that_saw_the_crashes(self, fleet):
        record_crash(fleet.instances["n20"], 1)
        record_crash(fleet.instances["n20"], 2)
        fleet.run(SPREAD_TIME)
        host = fleet.remove("n20").host
        fleet.add("n20", "nordur-a", 0.4, seeds=["n1"], incarnation=2, host=host)
        fleet.run(SPREAD_TIME)
        assert is_refused(fleet.instances["n20"])

    def test_fit_a_datagram_whatever_callers_send(self, fleet):
        instance = fleet.instances["n1"]
        for number in range(120):
            parts = [f"{number:020}{part:020}" for part in range(2 * MAX_PARTS)]
            keys = make_request_keys("a-service-with-a-long-name", [b"x"], parts)
            for crash in range(number, number + 3):
                instance.state.crashes.record_crash(
                    f"i-{crash:010}@1788000000000", keys, has_begun=number % 2 == 0
                )
        receiver = instance.roster.hubs()[-1]
        announcement = instance.announcer._composer.compose(receiver, Contact())
        datagram = write_datagram(Datagram(announcement=announcement), b"secret")
        assert len(announcement.crashes) > 0
        assert len(datagram) < MAX_DATAGRAM_BYTES
