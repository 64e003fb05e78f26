"""Tests of single faults; `test_interleavings` tests their combinations."""

from datetime import timedelta

import attrs
import pytest

from experiments.limits.network import Fault
from oriolepaddle.config.model import DataCentre, Organisation
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError
from oriolepaddle.limits.account import RESERVED_FRACTION
from oriolepaddle.limits.tests.scenario import (
    ORGANISATION,
    SETTINGS,
    claims,
    drain,
    make_entry,
    make_fleet,
    make_log,
    try_reserve,
)

THREE = {"a1": "a", "a2": "a", "a3": "a"}
FOUR = {**THREE, "b1": "b"}
LOAN_S = SETTINGS.loan.total_seconds()
LEASE_S = SETTINGS.mint_lease.total_seconds()


def run_and_drain(fleet, log, seconds, names=None):
    """Run the fleet and use all available tokens every second."""
    for _ in range(round(seconds)):
        fleet.run(1.0)
        running = [
            name for name in fleet.instances if not fleet.instances[name].is_paused
        ]
        drain(fleet, log, names or sorted(running))
        assert log.overshoot() <= 1e-6


def used_tokens(log, since_s=0.0):
    return sum(use.tokens for use in log.uses if use.at_s > since_s)


def shares(fleet):
    instances = fleet.instances.values()
    return [instance.limiter.snapshot(ORGANISATION).share for instance in instances]


class TestCalm:
    @pytest.mark.parametrize("name", ["a1", "a2", "a3", "b1"])
    def test_whole_burst_at_one_instance(self, name):
        fleet, log = make_fleet(FOUR), make_log()
        for _ in range(5):
            try_reserve(fleet, log, name, 1.0)
            fleet.run(1.0)
        assert try_reserve(fleet, log, name, 990.0) is not None

    def test_whole_rate_and_no_more(self):
        fleet, log = make_fleet(FOUR), make_log()
        run_and_drain(fleet, log, 10)
        started_s = fleet.now_s
        run_and_drain(fleet, log, 100)
        assert used_tokens(log, started_s) >= 100 * 100 * (
            1 - 2 * SETTINGS.max_clock_drift
        )

    def test_skewed_arrivals_get_the_whole_rate(self):
        fleet, log = make_fleet(FOUR), make_log()
        run_and_drain(fleet, log, 20, ["b1"])
        started_s = fleet.now_s
        run_and_drain(fleet, log, 100, ["b1"])
        assert used_tokens(log, started_s) >= 0.99 * 100 * 100

    def test_refund_comes_back_over_instances(self):
        fleet, log = make_fleet(FOUR), make_log()
        try_reserve(fleet, log, "a1", 1.0)
        fleet.run(3.0)
        index = try_reserve(fleet, log, "a1", 900.0)
        log.settle(index, 100.0)
        log.settle(index, 0.0)
        fleet.run(2.0)
        assert try_reserve(fleet, log, "a2", 800.0) is not None
        assert log.overshoot() == 0

    def test_request_above_the_burst_is_refused(self):
        fleet = make_fleet({"a1": "a"})
        with pytest.raises(RefusedError, match="more than the burst") as caught:
            fleet.instances["a1"].limiter.reserve(ORGANISATION, 1001.0)
        assert caught.value.code is ErrorCode.RATE_LIMITED
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_refusal_has_a_retry_after(self):
        fleet, log = make_fleet({"a1": "a"}), make_log()
        drain(fleet, log, ["a1"])
        with pytest.raises(RefusedError) as caught:
            fleet.instances["a1"].limiter.reserve(ORGANISATION, 200.0)
        assert caught.value.retry_after == pytest.approx(
            timedelta(seconds=2), abs=timedelta(seconds=0.2)
        )


class TestMembers:
    def test_joining_instance_starts_with_nothing(self):
        fleet, log = make_fleet({"a1": "a", "a2": "a"}), make_log()
        drain(fleet, log, ["a1", "a2"])
        fleet.start("a3", "a")
        fleet.tick("a3")
        fleet.tick("a3")
        assert fleet.instances["a3"].limiter.snapshot(ORGANISATION).balance_tokens == 0
        run_and_drain(fleet, log, 10)
        assert claims(fleet) == {"a1": 0.333, "a2": 0.333, "a3": 0.333}

    def test_grown_claim_has_accrued_nothing_before(self):
        settings_without_pooling = attrs.evolve(
            SETTINGS, pool_interval=timedelta(hours=1)
        )
        fleet, log = (
            make_fleet({"a1": "a", "a2": "a"}, settings=settings_without_pooling),
            make_log(),
        )
        drain(fleet, log, ["a1", "a2"])
        fleet.start("a3", "a")
        fleet.run(LOAN_S + 4)
        drain(fleet, log, ["a1", "a2", "a3"])
        assert claims(fleet)["a3"] == 0.333
        assert log.overshoot() <= 1e-6

    def test_restarted_instance_starts_empty(self):
        fleet, log = make_fleet(THREE), make_log()
        drain(fleet, log, ["a1"])
        for _ in range(3):
            fleet.stop("a1")
            fleet.start("a1", "a")
            run_and_drain(fleet, log, 3)
        run_and_drain(fleet, log, 10)
        assert sum(claims(fleet).values()) == pytest.approx(1, abs=0.01)

    def test_graceful_leave_hands_the_claim_over(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.instances["a1"].limiter.hand_over()
        fleet.stop("a1")
        fleet.unlist("a1")
        run_and_drain(fleet, log, LOAN_S + 3)
        assert claims(fleet) == {"a2": 0.5, "a3": 0.5}

    def test_vanished_claim_waits_until_the_mint_lease_is_over(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.stop("a1")
        fleet.unlist("a1")
        run_and_drain(fleet, log, LEASE_S)
        assert claims(fleet) == {"a2": 0.333, "a3": 0.333}
        run_and_drain(fleet, log, SETTINGS.release_s - LEASE_S + 5)
        assert claims(fleet) == {"a2": 0.5, "a3": 0.5}

    def test_instance_lost_while_it_joins_does_not_block_the_others(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.list("a4", "a")
        fleet.run(3)
        fleet.unlist("a4")
        run_and_drain(fleet, log, 2 * SETTINGS.release_s)
        assert claims(fleet) == {"a1": 0.333, "a2": 0.333, "a3": 0.333}

    def test_listed_instance_keeps_its_claim(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.stop("a1")
        run_and_drain(fleet, log, 3 * SETTINGS.release_s)
        assert claims(fleet) == {"a2": 0.333, "a3": 0.333}

    def test_paused_instance_wakes_up_without_its_claim(self):
        fleet, log = make_fleet(THREE), make_log()
        try_reserve(fleet, log, "a1", 10.0)
        fleet.pause("a1")
        fleet.unlist("a1")
        run_and_drain(fleet, log, SETTINGS.release_s + 5)
        fleet.pause("a1", is_paused=False)
        drain(fleet, log, ["a1"])
        assert log.overshoot() <= 1e-6
        assert fleet.instances["a1"].limiter.snapshot(ORGANISATION).claim == 0


class TestCuts:
    def test_cut_off_data_centre_keeps_serving(self):
        fleet, log = make_fleet(FOUR), make_log()
        fleet.network.cut(set(THREE), {"b1"})
        for name in THREE:
            fleet.instances[name].has_platform = False
            fleet.unlist(name)
        run_and_drain(fleet, log, 5 * SETTINGS.release_s)
        assert claims(fleet) == {"a1": 0.333, "a2": 0.333, "a3": 0.333, "b1": 1.0}

    def test_platform_outage_does_not_reduce_the_rate(self):
        fleet, log = make_fleet(FOUR), make_log()
        for instance in fleet.instances.values():
            instance.has_platform = False
        run_and_drain(fleet, log, 5 * SETTINGS.release_s)
        started_s = fleet.now_s
        run_and_drain(fleet, log, 20)
        assert used_tokens(log, started_s) >= 0.99 * 20 * 100

    def test_cut_inside_data_centre_fences_the_unlisted_part(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.network.cut({"a1", "a2"}, {"a3"})
        for name in ("a1", "a2"):
            fleet.instances[name].has_platform = False
            fleet.unlist(name)
        run_and_drain(fleet, log, SETTINGS.release_s + 10)
        assert claims(fleet) == {"a1": 0.0, "a2": 0.0, "a3": 1.0}
        fleet.network.cuts.clear()
        for name in ("a1", "a2"):
            fleet.instances[name].has_platform = True
            fleet.list(name, "a")
        run_and_drain(fleet, log, 2 * LOAN_S + 10)
        assert sum(claims(fleet).values()) == pytest.approx(1, abs=0.01)

    @pytest.mark.parametrize("source", ["a1", "a3"])
    def test_one_way_cut(self, source):
        fleet, log = make_fleet(FOUR), make_log()
        fleet.network.cut({source}, {*FOUR} - {source}, both=False)
        run_and_drain(fleet, log, 3 * LOAN_S)
        fleet.unlist(source)
        run_and_drain(fleet, log, 2 * SETTINGS.release_s)

    def test_no_claim_is_taken_over_by_a_stale_list(self):
        fleet, log = make_fleet(THREE), make_log()
        fleet.unlist("a1")
        fleet.tick("a2")
        for instance in fleet.instances.values():
            instance.has_platform = False
        fleet.stop("a1")
        run_and_drain(fleet, log, LEASE_S - 2)
        assert max(claims(fleet).values()) == 0.333


class TestDataCentreLost:
    def test_share_is_claimed_again_after_all_instances_restart(self):
        fleet, log = make_fleet(FOUR), make_log()
        run_and_drain(fleet, log, 10, ["b1"])
        for name in THREE:
            fleet.stop(name)
        for name in THREE:
            fleet.start(name, "a")
        run_and_drain(fleet, log, 3 * LOAN_S)
        assert claims(fleet) == {"a1": 0.333, "a2": 0.333, "a3": 0.333, "b1": 1.0}

    def test_restart_waits_for_loans_of_the_earlier_incarnation(self):
        fleet, log = make_fleet({"a1": "a", "b1": "b"}), make_log()
        fleet.network.method_faults = {"draw": Fault(is_lost=True)}
        drain(fleet, log, ["b1"])
        fleet.network.method_faults = {}
        fleet.run(2.0)
        # The other data centre lends its half except for the reserve.
        borrowed = fleet.instances["b1"].limiter.snapshot(ORGANISATION).borrowed
        assert borrowed == pytest.approx(0.5 * (1 - RESERVED_FRACTION))
        fleet.stop("a1")
        fleet.start("a1", "a")
        for _ in range(200):
            fleet.advance(0.1)
            fleet.tick("a1")
            assert sum(shares(fleet)) <= 1 + 1e-9
        assert claims(fleet)["a1"] == 1

    def test_unlisted_running_instance_prevents_minting_by_the_others(self):
        fleet, log = make_fleet(FOUR), make_log()
        for name in ("a1", "a2"):
            fleet.stop(name)
        fleet.instances["a3"].has_platform = False
        fleet.network.cut({"a3"}, {"a1", "a2", "b1"})
        fleet.unlist("a3")
        for name in ("a1", "a2"):
            fleet.start(name, "a")
        run_and_drain(fleet, log, 3 * SETTINGS.release_s)
        assert claims(fleet) == {"a1": 0.0, "a2": 0.0, "a3": 0.0, "b1": 1.0}

    def test_operator_may_allow_a_cold_start(self):
        fleet, log = make_fleet(FOUR), make_log()
        for name in THREE:
            fleet.stop(name)
            fleet.unlist(name)
        fleet.start("a9", "a")
        run_and_drain(fleet, log, 20)
        assert claims(fleet)["a9"] == 0
        fleet.instances["a9"].limiter.allow_cold_start()
        run_and_drain(fleet, log, 2 * LOAN_S)
        assert claims(fleet)["a9"] == 1


class TestMessages:
    @pytest.mark.parametrize("method", ["renew", "borrow", "draw", "settle"])
    @pytest.mark.parametrize(
        "fault",
        [
            Fault(is_lost=True),
            Fault(is_reply_lost=True),
            Fault(is_doubled=True),
            Fault(is_delayed=True),
        ],
    )
    def test_bound_holds_when_every_other_call_fails(self, method, fault):
        fleet, log = make_fleet(FOUR), make_log()
        for second in range(30):
            fleet.network.method_faults = {method: fault} if second % 2 else {}
            for name in sorted(FOUR):
                index = try_reserve(fleet, log, name, 30.0)
                if index is not None:
                    log.settle(index, 10.0)
            run_and_drain(fleet, log, 1)
            while second % 3 == 0 and fleet.network.delayed:
                fleet.network.deliver(len(fleet.network.delayed) - 1)

    @pytest.mark.parametrize("delay_s", [0.0, LOAN_S / 2, LOAN_S])
    def test_loan_ends_first_at_the_borrower(self, delay_s):
        # The borrower's clock is slow and the lender's is fast.
        drift = SETTINGS.max_clock_drift
        initial_fleet = make_fleet({"a1": "a", "a2": "a"})
        pooling_instance = initial_fleet.instances["a1"].limiter.pooling_instance(
            "norddal"
        )
        drifts = [-drift, drift] if pooling_instance == "a1" else [drift, -drift]
        fleet, log = make_fleet({"a1": "a", "a2": "a"}, drifts), make_log()
        try_reserve(fleet, log, pooling_instance, 1.0)
        fleet.advance(1.1)
        fleet.network.before_reply = lambda: fleet.advance(delay_s)
        fleet.instances[pooling_instance].limiter.tick()
        fleet.network.before_reply = None
        instances = fleet.instances.values()
        lent = sum(
            instance.limiter.snapshot(ORGANISATION).lent for instance in instances
        )
        assert lent == (0.5 if delay_s < LOAN_S else 0.0)
        for _ in range(2100):
            fleet.advance(LOAN_S / 2000)
            assert sum(shares(fleet)) <= 1 + 1e-9

    def test_relent_share_ends_with_the_original_loan(self):
        fleet, log = make_fleet({"a1": "a", "a2": "a", "b1": "b"}), make_log()
        pooling_instance = fleet.instances["a1"].limiter.pooling_instance("norddal")
        try_reserve(fleet, log, pooling_instance, 1.0)
        fleet.run(1.0)
        fleet.network.method_faults = {"draw": Fault(is_lost=True)}
        drain(fleet, log, ["b1"])
        fleet.network.method_faults = {}
        fleet.advance(2.0)
        fleet.instances["b1"].limiter.tick()
        assert fleet.instances["b1"].limiter.snapshot(ORGANISATION).share > 0.75
        for _ in range(100):
            fleet.advance(0.1)
            assert sum(shares(fleet)) <= 1 + 1e-9

    def test_tokens_in_transit_do_not_overfill_buckets(self):
        fleet, log = make_fleet({"a1": "a", "b1": "b"}), make_log()

        def refill_and_drain():
            fleet.network.before_reply = None
            fleet.advance(10.0)
            drain(fleet, log, ["a1", "b1"])
            fleet.network.before_reply = refill_and_drain

        for _ in range(6):
            fleet.advance(20.0)
            try_reserve(fleet, log, "a1", 400.0)
            fleet.network.before_reply = refill_and_drain
            fleet.instances["a1"].limiter.tick()
            fleet.network.before_reply = None
            drain(fleet, log, ["a1", "b1"])
            assert log.overshoot() <= 1e-6


class TestChanges:
    def test_heavier_data_centre_waits_for_the_lighter_one(self):
        fleet, log = make_fleet(FOUR), make_log()
        entry = make_entry(DataCentre("a", region="a", weight=9.0), number=2)
        fleet.instances["a1"].config.merge([entry])
        run_and_drain(fleet, log, 30)
        fractions = {
            name: instance.limiter.snapshot(ORGANISATION).fraction
            for name, instance in fleet.instances.items()
        }
        assert fractions == {"a1": 0.5, "a2": 0.5, "a3": 0.5, "b1": 0.5}
        fleet.instances["b1"].config.merge([entry])
        assert fleet.instances["b1"].limiter.snapshot(ORGANISATION).fraction == 0.1
        for name in ("a2", "a3"):
            fleet.instances[name].config.merge([entry])
        run_and_drain(fleet, log, 40)
        assert fleet.instances["a1"].limiter.snapshot(ORGANISATION).fraction == 0.9

    def test_restart_with_old_weights_waits_for_the_new_ones(self):
        fleet, log = make_fleet({"a1": "a", "b1": "b"}), make_log()
        entry = make_entry(DataCentre("b", region="b", weight=9.0), number=2)
        for instance in fleet.instances.values():
            instance.config.merge([entry])
        run_and_drain(fleet, log, 20)
        assert fleet.instances["b1"].limiter.snapshot(ORGANISATION).fraction == 0.9
        fleet.stop("a1")
        instance = fleet.start("a1", "a")
        run_and_drain(fleet, log, 20)
        assert sum(shares(fleet)) <= 1 + 1e-9
        instance.config.merge([entry])
        run_and_drain(fleet, log, 20)
        assert sum(shares(fleet)) == pytest.approx(1, abs=0.01)

    def test_lower_rate_holds_from_when_it_arrives(self):
        fleet, log = make_fleet({"a1": "a"}), make_log()
        drain(fleet, log, ["a1"])
        slower = Organisation("norddal", rate_tokens_per_s=1, burst_tokens=1000)
        fleet.instances["a1"].config.merge([make_entry(slower, number=2)])
        log.limit(fleet.now_s, 1, 1000)
        run_and_drain(fleet, log, 100)

    def test_drifting_clocks(self):
        drift = SETTINGS.max_clock_drift
        fleet, log = make_fleet(FOUR, [drift, -drift, drift, drift]), make_log()
        run_and_drain(fleet, log, 300)
        assert used_tokens(log) <= 1000 + 100 * fleet.now_s
