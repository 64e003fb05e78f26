import copy
import random
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.clock import SystemClock
from oriolepaddle.errors import RefusedError
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer
from oriolepaddle.quarantine import (
    QUARANTINE_SERVICE,
    Crash,
    EntryState,
    Quarantine,
    QuarantineHandler,
    QuarantineSpreader,
    StartAction,
)
from oriolepaddle.quarantine.tests.fleet import SETTINGS, Fleet, make_evidence

CRASHER = b"c" * 16
INNOCENT = b"i" * 16


def find_state(quarantine, fingerprint):
    states = {entry.fingerprint: entry.state for entry in quarantine.list()}
    return states.get(fingerprint)


class TestSpread:
    def test_crashes_at_two_instances_quarantine_everywhere(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet.crash("b", CRASHER, "e2")
        fleet.tick()
        for name in "abc":
            with pytest.raises(RefusedError):
                fleet[name].check(CRASHER)

    def test_one_crash_seen_by_two_instances_counts_once(self):
        fleet = Fleet()
        runs = [fleet[name].started(INNOCENT, "e1") for name in "ab"]
        for run in runs:
            run.crashed(make_evidence())
        fleet.tick()
        assert find_state(fleet["c"], INNOCENT) is EntryState.SUSPECT

    def test_report_crosses_a_fleet_without_a_full_mesh(self):
        fleet = Fleet()
        fleet.cut = {frozenset("ac")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert fleet["c"].is_suspect(CRASHER)

    def test_lost_report_is_sent_again(self):
        fleet = Fleet("ab")
        fleet.cut = {frozenset("ab")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert not fleet["b"].is_suspect(CRASHER)
        fleet.cut = set()
        fleet.advance(2)
        fleet.tick()
        assert fleet["b"].is_suspect(CRASHER)

    def test_lost_reply_doubles_the_report_harmlessly(self):
        fleet = Fleet("ab")
        fleet.mute = {frozenset("ab")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet.mute = set()
        fleet.advance(2)
        fleet.tick()
        assert find_state(fleet["b"], CRASHER) is EntryState.SUSPECT

    def test_restarted_peer_is_told_again(self):
        fleet = Fleet("ab")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet.nodes["b"].identity = PeerIdentity("b", 2, "lombardia-lodi")
        fleet.nodes["b"].restart()
        fleet.nodes["a"].spreader.tick()
        assert fleet["b"].is_suspect(CRASHER)

    def test_digest_repairs_what_was_lost(self):
        fleet = Fleet("ab")
        fleet.tick()
        fleet.crash("a", CRASHER, "e1")
        fleet.nodes["a"].spreader._peers["b"].sent_version = 1_000
        fleet.tick(1)
        fleet.advance(60)
        fleet.tick()
        assert fleet["b"].is_suspect(CRASHER)

    def test_clear_spreads_and_late_report_does_not_undo_it(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.crash("b", CRASHER, "e2")
        fleet.tick()
        late = copy.deepcopy(fleet["a"].export())
        fleet["c"].clear(CRASHER)
        fleet.tick()
        for name in "abc":
            fleet[name].merge(late)
            assert find_state(fleet[name], CRASHER) is EntryState.CLEARED
        fleet.crash("a", CRASHER, "e3")
        fleet.tick()
        assert find_state(fleet["b"], CRASHER) is EntryState.SUSPECT

    def test_report_clears_those_beside_the_condemned(self):
        fleet = Fleet("ab")
        fleet.cut = {frozenset("ab")}
        fleet["b"].started(INNOCENT, "e1").crashed(make_evidence())
        fleet["a"].started(CRASHER, "e1").crashed(make_evidence())
        fleet.crash("a", CRASHER, "e2")
        fleet["b"].merge(fleet["a"].export())
        assert find_state(fleet["b"], INNOCENT) is EntryState.CLEARED

    def test_doubled_report_does_not_lengthen_a_life(self):
        fleet = Fleet("ab")
        fleet["a"].started(CRASHER, "e1").crashed(make_evidence())
        report = copy.deepcopy(fleet["a"].export())
        fleet["b"].merge(report)
        fleet.advance(1800)
        fleet["b"].merge(report)
        fleet.advance(1800)
        assert fleet["b"].list() == ()

    def test_slow_reports_do_not_renew_each_other(self):
        fleet = Fleet("ab")
        fleet["a"].started(CRASHER, "e1").crashed(make_evidence())
        fleet.advance(SETTINGS.life.total_seconds() - 0.5)
        for giver, taker in ["ab", "ba"] * 10:
            report = copy.deepcopy(fleet[giver].export())
            fleet.advance(1)
            fleet[taker].merge(report)
        assert fleet["a"].list() == fleet["b"].list() == ()

    def test_expired_entry_does_not_come_back(self):
        fleet = Fleet("ab")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        for _ in range(3700):
            fleet.advance(1)
            fleet.tick(1)
        assert fleet["a"].list() == fleet["b"].list() == ()


class TestClaims:
    @pytest.mark.parametrize("first", ["a", "b"])
    @pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.39])
    def test_claims_within_a_spread_time_start_one_run(self, gap_s, first):
        """Each claim arrives a whole spread time after it was made."""
        fleet = Fleet("abc")
        fleet.crash("c", CRASHER, "e1")
        fleet.tick()
        second = "b" if first == "a" else "a"
        wait_s = SETTINGS.claim_wait.total_seconds()
        steps = [
            (0.0, 0, lambda: ask(first)),
            (gap_s, 0, lambda: ask(second)),
            (0.4, 1, lambda: tell(first, second)),
            (gap_s + 0.4, 1, lambda: tell(second, first)),
            (wait_s, 2, lambda: ask(first)),
            (gap_s + wait_s, 2, lambda: ask(second)),
        ]
        reports = {}
        started = []

        def ask(name):
            endpoint = {"a": "e2", "b": "e3"}[name]
            advice = fleet[name].may_start(CRASHER, endpoint)
            reports.setdefault(name, copy.deepcopy(fleet[name].export()))
            if advice.action is StartAction.GO:
                started.append(fleet[name].started(CRASHER, endpoint))

        def tell(giver, taker):
            fleet[taker].merge(reports[giver])

        now_s = 0.0
        for at_s, _, step in sorted(steps, key=lambda each: each[:2]):
            # A tick of a microsecond more keeps a wait from being short by rounding.
            fleet.advance(at_s - now_s + 1e-6)
            now_s = at_s
            step()
        assert len(started) == 1

    def test_repeat_at_another_instance_waits_for_the_run(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet["a"].may_start(CRASHER, "e2")
        fleet.advance(0.8)
        run = fleet["a"].started(CRASHER, "e2")
        fleet.tick()
        assert fleet["b"].may_start(CRASHER, "e3").action is StartAction.WAIT
        assert fleet["b"].may_start(b"new", "e2").action is StartAction.AVOID
        run.finished()
        fleet.tick()
        assert fleet["b"].may_start(CRASHER, "e3").action is StartAction.GO

    def test_run_that_began_before_the_report_is_waited_for(self):
        fleet = Fleet()
        early = fleet["b"].started(CRASHER, "e2")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert fleet["a"].may_start(CRASHER, "e3").action is StartAction.WAIT
        early.crashed(make_evidence())
        fleet.tick()
        with pytest.raises(RefusedError):
            fleet["a"].may_start(CRASHER, "e3")

    def test_claim_of_a_vanished_instance_ends(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet["a"].may_start(CRASHER, "e2")
        fleet.tick()
        del fleet.nodes["a"]
        assert fleet["b"].may_start(CRASHER, "e3").action is StartAction.WAIT
        fleet.advance(SETTINGS.claim_life.total_seconds())
        advice = fleet["b"].may_start(CRASHER, "e3")
        assert advice.endpoint == "e3"


OPERATIONS = st.tuples(
    st.sampled_from(["record", "finish", "clear", "refute", "send"]),
    st.sampled_from("abc"),
    st.sampled_from("abc"),
    st.sampled_from([CRASHER, INNOCENT]),
    st.sampled_from(["e1", "e2", "e3"]),
)


class TestMerge:
    @given(st.lists(OPERATIONS, max_size=40), st.randoms(use_true_random=False))
    @settings(derandomize=True, deadline=None)
    def test_late_lost_and_doubled_reports_converge(self, operations, rng):
        fleet = Fleet()
        reports = []
        for operation, name, other, fingerprint, endpoint in operations:
            quarantine = fleet[name]
            fleet.advance(0.001)
            reports.append(copy.deepcopy(quarantine.export()))
            if operation == "record":
                quarantine._entries.record(fingerprint, make_crash(endpoint))
            elif operation == "finish":
                quarantine._entries.acquit(fingerprint)
            elif operation == "clear":
                quarantine.clear(fingerprint)
            elif operation == "refute":
                quarantine.endpoint_answered(endpoint, "1", 1e9)
            else:
                fleet[other].merge(rng.choice(reports))
        for _ in range(3):
            for name in "abc":
                whole = copy.deepcopy(fleet[name].export())
                for other in "abc":
                    fleet[other].merge(whole)
        assert len({fleet[name].digest() for name in "abc"}) == 1
        generations = [
            max((e.generation for e in fleet[name].list()), default=0) for name in "abc"
        ]
        assert len(set(generations)) == 1


def make_crash(endpoint):
    return Crash(endpoint, "1")


class OneAddress:
    def __init__(self, address):
        self.address = address

    def peer_address(self, instance):
        return self.address

    def reachable(self):
        return frozenset({"b"})

    def incarnation(self, instance):
        return 1


class TestWire:
    def test_crash_reaches_a_peer_over_a_link(self):
        clock = SystemClock()
        identities = [PeerIdentity(name, 1, "lombardia-lodi") for name in "ab"]
        a, b = (Quarantine(clock, SETTINGS, identity) for identity in identities)
        handlers = {QUARANTINE_SERVICE: QuarantineHandler(b)}
        server = PeerServer("127.0.0.1", 0, identities[1], b"secret", handlers)
        server.start()
        view = OneAddress(f"127.0.0.1:{server.port}")
        pool = PeerPool(identities[0], b"secret", view)
        stop = threading.Event()
        with ThreadPoolExecutor(4) as executor:
            spreader = QuarantineSpreader(
                clock, SETTINGS, a, pool, view, executor, random.Random(1)
            )
            task = executor.submit(spreader.run, stop)
            a.started(CRASHER, "e1").crashed(make_evidence())
            assert b.changed.wait(10)
            stop.set()
            a.changed.set()
            task.result(timedelta(seconds=10).total_seconds())
        pool.close()
        server.close()
        assert b.is_suspect(CRASHER)
