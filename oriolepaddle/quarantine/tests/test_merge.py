import copy
import random
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from oriolepaddle.clock import SystemClock
from oriolepaddle.peers import PeerIdentity, PeerPool, PeerServer
from oriolepaddle.quarantine import (
    QUARANTINE_SERVICE,
    Crash,
    EntryState,
    Quarantine,
    QuarantineHandler,
    QuarantineReplicator,
)
from oriolepaddle.quarantine.tests.fleet import (
    SETTINGS,
    Fleet,
    find_state,
    make_evidence,
)

CRASHER = b"c" * 16
INNOCENT = b"i" * 16


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
    def test_late_lost_and_duplicate_reports_converge(self, operations, rng):
        fleet = Fleet()
        reports = []
        for operation, name, other, fingerprint, endpoint in operations:
            quarantine = fleet[name]
            fleet.advance(0.001)
            reports.append(copy.deepcopy(quarantine.export()))
            if operation == "record":
                quarantine._entries.record(fingerprint, make_crash(endpoint))
            elif operation == "finish":
                quarantine._entries.dismiss_crashes(fingerprint)
            elif operation == "clear":
                quarantine.clear(fingerprint)
            elif operation == "refute":
                quarantine.record_health_answer(endpoint, "1", 1e9)
            else:
                fleet[other].merge(rng.choice(reports))
        for _ in range(3):
            for name in "abc":
                report = copy.deepcopy(fleet[name].export())
                for other in "abc":
                    fleet[other].merge(report)
        assert len({fleet[name].digest() for name in "abc"}) == 1
        generations = [
            max((e.generation for e in fleet[name].list()), default=0) for name in "abc"
        ]
        assert len(set(generations)) == 1


def make_crash(endpoint):
    return Crash(endpoint, "1")


class TestAmbiguity:
    """Two requests with the same crashes, recorded on both sides of a partition."""

    def make_fleet(self):
        fleet = Fleet("ab")
        fleet.cut = {frozenset("ab")}
        for endpoint in ("e1", "e2"):
            fleet.crash("a", CRASHER, endpoint)
            fleet.crash("b", INNOCENT, endpoint)
        return fleet

    def heal(self, fleet):
        fleet.cut = set()
        fleet.advance(60)
        fleet.tick()

    def find_states(self, fleet):
        return [find_state(fleet["b"], each) for each in (CRASHER, INNOCENT)]

    def test_same_crashes_leave_two_suspects(self):
        fleet = self.make_fleet()
        assert find_state(fleet["b"], INNOCENT) is EntryState.QUARANTINED
        self.heal(fleet)
        assert self.find_states(fleet) == [EntryState.SUSPECT] * 2
        fleet.crash("a", CRASHER, "e3")
        fleet.tick()
        states = [EntryState.QUARANTINED, EntryState.CLEARED]
        assert self.find_states(fleet) == states

    def test_a_further_crash_identifies_the_cause(self):
        fleet = self.make_fleet()
        fleet["a"]._entries.record(CRASHER, make_crash("e3"))
        self.heal(fleet)
        states = [EntryState.QUARANTINED, EntryState.CLEARED]
        assert self.find_states(fleet) == states


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
            replicator = QuarantineReplicator(
                clock, SETTINGS, a, pool, view, executor, random.Random(1)
            )
            task = executor.submit(replicator.run, stop)
            a.start_run(CRASHER, "e1").fail(make_evidence())
            assert b.changed.wait(10)
            stop.set()
            a.changed.set()
            task.result(timedelta(seconds=10).total_seconds())
        pool.close()
        server.close()
        assert b.has_active_crashes(CRASHER)
