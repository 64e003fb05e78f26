"""An organisation's rate over all instances together, on daemon processes."""

import threading
from http.client import HTTPException

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.tests.fleet import CHAT, Fleet, make_chat, make_organisation
from oriolepaddle.standins import RelayMode, make_key

RATE_TOKENS_PER_S = 100
BURST_TOKENS = 400
TOKENS = 10
ROUNDS = 20
LOAD_S = 2.0
"""Minimum time for which each instance receives requests. Its share of the rate is some
33 tokens per second and a request takes 18: a series of refused requests alone may
end before the instance has that many."""


@pytest.fixture
def fleet():
    fleet = Fleet()
    limits = {"rate_tokens_per_s": RATE_TOKENS_PER_S, "burst_tokens": BURST_TOKENS}
    fleet.publish(
        [make_organisation("small", **limits), make_key("k3", "small", "key-of-small")]
    )
    fleet.start(n1="nordur-a", n2="nordur-a", s1="sudur-a")
    yield fleet
    fleet.close()


def use_tokens(daemon):
    chat = make_chat(tokens=TOKENS)
    try:
        status, _ = daemon.request("POST", CHAT, chat, key="key-of-small")
    except (HTTPException, OSError):
        return 0
    return TOKENS if status == 200 else 0


def use_all(daemons, rounds=ROUNDS):
    return sum(use_tokens(daemon) for daemon in list(daemons) * rounds)


def use_during_load(daemon):
    clock = SystemClock()
    started_s = clock.monotonic_s()
    used = use_all([daemon], 3 * ROUNDS)
    while clock.monotonic_s() - started_s < LOAD_S:
        used += use_tokens(daemon)
    return used


def do_nothing(fleet):
    return fleet.daemons.values()


def kill(fleet):
    fleet.daemons["n2"].kill()
    return [fleet.daemons["n1"], fleet.daemons["s1"]]


def replace(fleet):
    fleet.replace("n2")
    return fleet.daemons.values()


def cut_region(fleet):
    fleet.cut_region("s1")
    return fleet.daemons.values()


def cut_from_platform(fleet):
    fleet.platform_links["n1"].set_mode(RelayMode.CUT)
    return fleet.daemons.values()


def freeze_and_wake(fleet):
    daemon = fleet.daemons["n1"]
    daemon.freeze()
    others = [fleet.daemons["n2"], fleet.daemons["s1"]]
    fleet.used_during_fault = use_all(others)
    daemon.wake()
    return fleet.daemons.values()


def change_weights(fleet):
    values = [("nordur-a", "nordur", 9.0), ("sudur-a", "sudur", 1.0)]
    fleet.publish(
        [
            {
                "kind": "data_centre",
                "id": name,
                "value": {"region": region, "weight": weight},
            }
            for name, region, weight in values
        ]
    )
    return fleet.daemons.values()


FAULTS = [
    do_nothing,
    kill,
    replace,
    cut_region,
    cut_from_platform,
    freeze_and_wake,
    change_weights,
]


class TestRate:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_is_not_exceeded(self, fleet, fault):
        clock = SystemClock()
        fleet.used_during_fault = 0
        started_s = clock.monotonic_s()
        used = use_all(fleet.daemons.values())
        daemons = fault(fleet)
        callers = []
        counts = []
        for daemon in daemons:
            caller = threading.Thread(
                target=lambda d=daemon: counts.append(use_during_load(d))
            )
            callers.append(caller)
            caller.start()
        for caller in callers:
            caller.join()
        used += fleet.used_during_fault + sum(counts)
        elapsed_s = clock.monotonic_s() - started_s
        assert 0 < used <= BURST_TOKENS + RATE_TOKENS_PER_S * elapsed_s
