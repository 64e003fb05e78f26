import copy

import pytest

from oriolepaddle.errors import RefusedError
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import (
    EntryState,
)
from oriolepaddle.quarantine.tests.fleet import (
    SETTINGS,
    Fleet,
    find_state,
    make_evidence,
)

CRASHER = b"c" * 16
INNOCENT = b"i" * 16


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
        runs = [fleet[name].start_run(INNOCENT, "e1") for name in "ab"]
        for run in runs:
            run.fail(make_evidence())
        fleet.tick()
        assert find_state(fleet["c"], INNOCENT) is EntryState.SUSPECT

    def test_report_crosses_a_fleet_without_a_full_mesh(self):
        fleet = Fleet()
        fleet.cut = {frozenset("ac")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert fleet["c"].has_active_crashes(CRASHER)

    def test_lost_report_is_sent_again(self):
        fleet = Fleet("ab")
        fleet.cut = {frozenset("ab")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert not fleet["b"].has_active_crashes(CRASHER)
        fleet.cut = set()
        fleet.advance(2)
        fleet.tick()
        assert fleet["b"].has_active_crashes(CRASHER)

    def test_lost_reply_doubles_the_report_harmlessly(self):
        fleet = Fleet("ab")
        fleet.mute = {frozenset("ab")}
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet.mute = set()
        fleet.advance(2)
        fleet.tick()
        assert find_state(fleet["b"], CRASHER) is EntryState.SUSPECT

    def test_restarted_peer_gets_the_report_again(self):
        fleet = Fleet("ab")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet.nodes["b"].identity = PeerIdentity("b", 2, "lombardia-lodi")
        fleet.nodes["b"].restart()
        fleet.nodes["a"].replicator.tick()
        assert fleet["b"].has_active_crashes(CRASHER)

    def test_digest_repairs_what_was_lost(self):
        fleet = Fleet("ab")
        fleet.tick()
        fleet.crash("a", CRASHER, "e1")
        fleet.nodes["a"].replicator._peers["b"].sent_version = 1_000
        fleet.tick(1)
        fleet.advance(60)
        fleet.tick()
        assert fleet["b"].has_active_crashes(CRASHER)

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

    def test_report_clears_fingerprints_at_the_same_crash(self):
        fleet = Fleet("ab")
        fleet.cut = {frozenset("ab")}
        fleet["b"].start_run(INNOCENT, "e1").fail(make_evidence())
        fleet["a"].start_run(CRASHER, "e1").fail(make_evidence())
        fleet.crash("a", CRASHER, "e2")
        fleet["b"].merge(fleet["a"].export())
        assert find_state(fleet["b"], INNOCENT) is EntryState.CLEARED

    def test_duplicate_report_does_not_extend_the_lifetime(self):
        fleet = Fleet("ab")
        fleet["a"].start_run(CRASHER, "e1").fail(make_evidence())
        report = copy.deepcopy(fleet["a"].export())
        fleet["b"].merge(report)
        fleet.advance(1800)
        fleet["b"].merge(report)
        fleet.advance(1800)
        assert fleet["b"].list() == ()

    def test_slow_reports_do_not_renew_each_other(self):
        fleet = Fleet("ab")
        fleet["a"].start_run(CRASHER, "e1").fail(make_evidence())
        fleet.advance(SETTINGS.life.total_seconds() - 0.5)
        for sender, receiver in ["ab", "ba"] * 10:
            report = copy.deepcopy(fleet[sender].export())
            fleet.advance(1)
            fleet[receiver].merge(report)
        assert fleet["a"].list() == fleet["b"].list() == ()

    def test_expired_entry_does_not_come_back(self):
        fleet = Fleet("ab")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        for _ in range(3700):
            fleet.advance(1)
            fleet.tick(1)
        assert fleet["a"].list() == fleet["b"].list() == ()
