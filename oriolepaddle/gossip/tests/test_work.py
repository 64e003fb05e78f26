from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.gossip import RegionWork
from oriolepaddle.gossip.codec import read_datagram, write_datagram
from oriolepaddle.gossip.work import MAX_SENT_PARTS
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    Datagram,
    InstanceRecord,
)
from oriolepaddle.placement import PeerLoad, PromptPart

SYSTEM, DOSSIER, OTHER = (
    PromptPart("5c1e07a2", 800),
    PromptPart("91bd3f06", 4000),
    PromptPart("e4402b7d", 2500),
)


class FakePlacer:
    """Returns the given loads and records those applied to it."""

    def __init__(self, loads=None):
        self.loads = loads or {}
        self.applied = {}

    def own_loads(self):
        return self.loads

    def apply_peer(self, name, loads):
        self.applied[name] = loads


@pytest.fixture
def clock():
    return ManualClock()


class TestSentParts:
    def test_reach_the_other_members_through_a_hub(self, clock):
        hub = RegionWork(clock, FakePlacer({"e1": PeerLoad(1, 0, sent_parts=(OTHER,))}))
        sender_placer = FakePlacer({"e1": PeerLoad(0, 0, sent_parts=(SYSTEM, DOSSIER))})
        hub.record_member_work("n2", RegionWork(clock, sender_placer).own())
        receiver = FakePlacer()
        RegionWork(clock, receiver).record_others_work(hub.sum_others("n3"))
        (applied,) = receiver.applied.values()
        assert set(applied["e1"].sent_parts) == {SYSTEM, DOSSIER, OTHER}
        assert applied["e1"].running == 1

    def test_are_not_sent_back(self, clock):
        hub = RegionWork(clock, FakePlacer())
        placer = FakePlacer({"e1": PeerLoad(1, 0, sent_parts=(SYSTEM,))})
        hub.record_member_work("n2", RegionWork(clock, placer).own())
        assert hub.sum_others("n2") == []

    def test_are_sent_once_each(self, clock):
        hub = RegionWork(clock, FakePlacer())
        for name in ("n2", "n3"):
            placer = FakePlacer({"e1": PeerLoad(1, 0, sent_parts=(SYSTEM,))})
            hub.record_member_work(name, RegionWork(clock, placer).own())
        (work,) = hub.sum_others("n4")
        assert [part.id for part in work.sent_parts] == [SYSTEM.id]

    def test_are_few_enough_for_a_datagram(self, clock):
        parts = tuple(PromptPart(f"{number:08x}", 10) for number in range(5000))
        loads = {name: PeerLoad(1, 0, sent_parts=parts) for name in ("e1", "e2", "e3")}
        reported_work = RegionWork(clock, FakePlacer(loads)).own()
        assert sum(len(work.sent_parts) for work in reported_work) <= MAX_SENT_PARTS
        # The latest ones are sent.
        assert {work.sent_parts[-1].id for work in reported_work} == {parts[-1].id}


class TestLargeNumbers:
    """Callers may give very large token counts, each of which is allowed."""

    def test_fit_into_a_datagram(self, clock):
        most = 2**31 - 1
        part = PromptPart("a", most)
        load = PeerLoad(1, 3 * most, 5 * most, 1e9, 1e9, (part,))
        reported_work = RegionWork(clock, FakePlacer({"e1": load})).own()
        sender = InstanceRecord("n1", 1, "a", "x:1", "x:2", 1, True, False, 0)
        announcement = Announcement(
            sender, 1, version=1, delegates=False, work=reported_work
        )
        secret = b"a secret of the tests"
        data = write_datagram(Datagram(announcement=announcement), secret)
        (work,) = read_datagram(data, secret).announcement.work
        assert work.prefill_tokens == work.memory_tokens == most
        assert work.reading_ms == work.expected_ms == most


class TestSum:
    """The load: a region of a hundred instances, all with requests at each endpoint."""

    MEMBERS = 100
    ENDPOINTS = 20

    @pytest.fixture
    def hub(self, clock):
        hub = RegionWork(clock, FakePlacer({"e0": PeerLoad(1, 100)}))
        for member in range(self.MEMBERS):
            loads = {
                f"e{number}": PeerLoad(1, 10 * member, 7, 0.25, 0.5)
                for number in range(self.ENDPOINTS)
            }
            work = RegionWork(clock, FakePlacer(loads)).own()
            hub.record_member_work(f"n{member}", work)
        return hub

    def test_leaves_out_the_receiver(self, hub):
        for member in (0, 57):
            work = {item.endpoint: item for item in hub.sum_others(f"n{member}")}
            assert len(work) == self.ENDPOINTS
            assert work["e5"].running == self.MEMBERS - 1
            assert work["e5"].prefill_tokens == 10 * (sum(range(100)) - member)
            assert work["e5"].expected_ms == 500 * (self.MEMBERS - 1)
            assert work["e0"].running == self.MEMBERS

    def test_follows_changes(self, hub, clock):
        hub.sum_others("n1")
        clock.advance(timedelta(milliseconds=100))
        hub.record_member_work("n0", [])
        work = {item.endpoint: item for item in hub.sum_others("n1")}
        assert work["e5"].running == self.MEMBERS - 2

    def test_cost_of_all_replies_is_linear_in_the_members(self, hub, monkeypatch):
        additions = []
        add = PeerLoad.add
        monkeypatch.setattr(
            PeerLoad, "add", lambda *loads: additions.append(1) or add(*loads)
        )
        for member in range(self.MEMBERS):
            hub.sum_others(f"n{member}")
        assert len(additions) <= 2 * self.MEMBERS * self.ENDPOINTS
