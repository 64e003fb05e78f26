import pytest

from experiments.limits.network import Fault
from oriolepaddle.limits.tests.scenario import (
    SETTINGS,
    claims,
    drain,
    make_fleet,
    make_log,
    try_reserve,
)

NAMES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
HAND_OVER_CALLS = ("leave", "give_back", "borrow", "renew", "settle", "draw")


def drop_requests(fleet):
    fleet.network.method_faults = {
        name: Fault(is_lost=True) for name in HAND_OVER_CALLS
    }


def drop_replies(fleet):
    fleet.network.method_faults = {
        name: Fault(is_reply_lost=True) for name in HAND_OVER_CALLS
    }


def duplicate_requests(fleet):
    fleet.network.method_faults = {
        name: Fault(is_doubled=True) for name in HAND_OVER_CALLS
    }


def delay_requests(fleet):
    fleet.network.method_faults = {
        name: Fault(is_delayed=True) for name in HAND_OVER_CALLS
    }


def slow_replies(fleet):
    fleet.network.before_reply = lambda: fleet.advance(0.4)


def cut_one_way(fleet):
    fleet.network.cut({"a1"}, {"a2"}, both=False)


def cut_both_ways(fleet):
    fleet.network.cut({"a1"}, set(NAMES) - {"a1"})


def disconnect_platform(fleet):
    for instance in fleet.instances.values():
        instance.has_platform = False


def delay_instance_list(fleet):
    for instance in fleet.instances.values():
        instance.list_lag_s = 2.0


def stop_other_member(fleet):
    fleet.stop("a2")


def pause_other_member(fleet):
    fleet.pause("a2")


def drain_other_member(fleet):
    fleet.instances["a2"].limiter.prepare_hand_over()
    fleet.instances["a2"].limiter.hand_over()


FAULTS = [
    drop_requests,
    drop_replies,
    duplicate_requests,
    delay_requests,
    slow_replies,
    cut_one_way,
    cut_both_ways,
    disconnect_platform,
    delay_instance_list,
    stop_other_member,
    pause_other_member,
    drain_other_member,
]


def run_under_load(fleet, log, seconds):
    for _ in range(int(seconds)):
        fleet.run(1.0)
        running = [
            name for name, instance in fleet.instances.items() if not instance.is_paused
        ]
        drain(fleet, log, running)


def deliver_newest_first(fleet):
    while fleet.network.delayed:
        fleet.network.deliver(len(fleet.network.delayed) - 1)


class TestHandOver:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_creates_no_tokens_under_a_fault(self, fault):
        fleet, log = make_fleet(NAMES), make_log()
        # a1 hands over with a reservation that is not settled.
        try_reserve(fleet, log, "a1", 50.0)
        run_under_load(fleet, log, 3)
        fleet.instances["a1"].limiter.prepare_hand_over()
        run_under_load(fleet, log, 2)
        fault(fleet)
        fleet.instances["a1"].limiter.hand_over()
        # Long enough for the other members to release a1's claim if `leave` was lost.
        run_under_load(fleet, log, 2 * SETTINGS.release_s)
        fleet.stop("a1")
        fleet.unlist("a1")
        deliver_newest_first(fleet)
        fleet.network.before_reply = None
        run_under_load(fleet, log, 2 * SETTINGS.release_s)
        assert log.overshoot() <= 1e-6
        # The claims of each of the two data centres add up to 1 at most.
        assert sum(claims(fleet).values()) <= 2 + 1e-2

    def test_kill_during_the_hand_over_creates_no_tokens(self):
        fleet, log = make_fleet(NAMES), make_log()
        run_under_load(fleet, log, 3)
        fleet.instances["a1"].limiter.prepare_hand_over()
        run_under_load(fleet, log, 1)
        fleet.stop("a1")
        fleet.unlist("a1")
        run_under_load(fleet, log, 2 * SETTINGS.release_s)
        assert log.overshoot() <= 1e-6

    def test_instance_paused_during_the_hand_over_admits_nothing(self):
        fleet, log = make_fleet(NAMES), make_log()
        run_under_load(fleet, log, 3)
        fleet.instances["a1"].limiter.prepare_hand_over()
        fleet.pause("a1")
        fleet.unlist("a1")
        run_under_load(fleet, log, 2 * SETTINGS.release_s)
        fleet.pause("a1", is_paused=False)
        assert try_reserve(fleet, log, "a1", 1.0) is None
        fleet.instances["a1"].limiter.hand_over()
        run_under_load(fleet, log, 5)
        assert log.overshoot() <= 1e-6
