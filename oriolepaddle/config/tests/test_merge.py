import json
from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, parse_ticket
from oriolepaddle.config.conflict import ConflictKind
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.keys import digest_key, find_key
from oriolepaddle.config.model import Key, ObjectKind, Organisation
from oriolepaddle.config.snapshot import SnapshotAssembler, parse_shard
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.errors import TicketError

TICKET_COUNT = 12
IDS = "abcd"


def make_entry(number, object_id, rate):
    if rate is None:
        return Entry(ObjectKind.ORGANISATION, object_id, number, None)
    value = Organisation(object_id, rate, 1.0)
    return Entry(ObjectKind.ORGANISATION, object_id, number, value, f'{{"r":{rate}}}')


@st.composite
def histories(draw):
    """A history of tickets with one object each, and a snapshot after each ticket."""
    entries, latest, snapshots = [], {}, {}
    for number in range(1, TICKET_COUNT + 1):
        rate = draw(st.one_of(st.none(), st.integers(1, 3)))
        entry = make_entry(number, draw(st.sampled_from(IDS)), rate)
        entries.append(entry)
        latest[entry.id] = entry
        live = [latest[name] for name in latest if not latest[name].is_tombstone]
        snapshots[number] = (Floor(number, number), tuple(live))
    return entries, snapshots


def apply(state, event):
    if isinstance(event, Entry):
        state.merge([event])
    else:
        state.adopt(*event)


def content(state):
    return state.floor, frozenset(state.entries())


def live(state):
    return {value.id: value for value in state.organisations()}


def expected_live(entries):
    latest = {entry.id: entry.value for entry in entries}
    return {name: value for name, value in latest.items() if value is not None}


class TestMergeLaws:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(histories(), st.data())
    def test_any_order_with_doubles_and_gaps_converges(self, history, data):
        entries, snapshots = history
        floors = data.draw(st.lists(st.sampled_from(sorted(snapshots)), max_size=3))
        highest = max(floors, default=0)
        needed = entries[highest:] + [snapshots[number] for number in floors]
        extra = data.draw(st.lists(st.sampled_from(entries), max_size=10))
        events = data.draw(st.permutations(needed + extra))
        state = ConfigState()
        for event in events:
            apply(state, event)
        assert live(state) == expected_live(entries)
        assert state.floor.number == highest

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(histories(), st.data())
    def test_merge_of_states_is_a_join(self, history, data):
        entries, snapshots = history
        events = st.sampled_from(entries + list(snapshots.values()))
        parts = []
        for _ in range(3):
            state = ConfigState()
            for event in data.draw(st.lists(events, max_size=8)):
                apply(state, event)
            parts.append((state.floor, state.entries()))
        left, middle, right = parts

        def join(*states):
            joined = ConfigState()
            for part in states:
                joined.adopt(*part)
            return joined

        both = join(middle, right)
        assert content(join(left, middle)) == content(join(middle, left))
        assert content(join(left, left)) == content(join(left))
        nested = join(left, (both.floor, both.entries()))
        assert content(join(left, middle, right)) == content(nested)
        assert nested.digest == join(right, left, middle).digest

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(histories(), st.data())
    def test_nothing_reverts_while_every_instance_is_replaced(self, history, data):
        entries, snapshots = history
        events = st.sampled_from(entries + list(snapshots.values()))
        fleet = [ConfigState() for _ in range(3)]
        seen = {}
        for step in range(12):
            place = step % 3
            if data.draw(st.booleans()):
                # A new instance merges a stale source and one living peer.
                fresh = ConfigState()
                peer = fleet[(place + 1) % 3]
                stale = data.draw(st.lists(events, max_size=4))
                for event in [*stale, (peer.floor, peer.entries()), *stale]:
                    apply(fresh, event)
                fleet[place].merge(())
                fleet[(place + 1) % 3].adopt(fleet[place].floor, fleet[place].entries())
                fresh.adopt(peer.floor, peer.entries())
                fleet[place] = fresh
            else:
                apply(fleet[place], data.draw(events))
            for state in fleet:
                check_no_revert(state, seen)


def check_no_revert(state, highest_seen):
    before = highest_seen.setdefault(id(state), {})
    for entry in state.entries():
        assert entry.number >= before.get(entry.id, 0)
        before[entry.id] = entry.number
    for name, number in before.items():
        if state.entry(ObjectKind.ORGANISATION, name) is None:
            assert number <= state.floor.number


class TestConflict:
    def test_two_tickets_with_one_number_settle_alike(self):
        first, second = make_entry(7, "a", 1), make_entry(7, "a", 2)
        one, other = ConfigState(), ConfigState()
        one.merge([first, second])
        other.merge([second, first])
        assert content(one) == content(other)
        assert one.conflict_count == other.conflict_count == 1
        assert one.conflicts()[0].kind is ConflictKind.SAME_NUMBER

    def test_snapshot_that_lacks_an_older_ticket_is_shown(self):
        state = ConfigState()
        state.merge([make_entry(5, "a", 1)])
        state.adopt(Floor(9, 1), [make_entry(3, "a", 2)])
        assert state.conflicts()[0].kind is ConflictKind.BELOW_FLOOR


class TestFloor:
    def test_listener_receives_deletion_by_floor(self):
        state, received = ConfigState(), []
        state.merge([make_entry(2, "a", 1)])
        state.add_listener(received.extend)
        state.adopt(Floor(4, 0), [])
        assert [(entry.id, entry.number, entry.value) for entry in received] == [
            ("a", 4, None)
        ]

    def test_tombstones_go_and_stalest_source_cannot_bring_back(self):
        state = ConfigState()
        old = make_entry(1, "a", 1)
        state.merge([old, make_entry(2, "a", None)])
        state.adopt(Floor(2, 0), [])
        assert state.entries() == ()
        state.merge([old])
        state.adopt(Floor(1, 0), [old])
        assert state.entries() == ()


def make_shard(index, count=2, floor=5, publication="p", number=1):
    value = {"rate_tokens_per_s": 1, "burst_tokens": 1}
    entry = {"kind": "organisation", "id": f"o{index}", "value": value}
    return json.dumps(
        {
            "floor": floor,
            "publication": publication,
            "shard": index,
            "shards": count,
            "entries": [entry | {"number": number}],
        }
    )


class TestSnapshotAssembler:
    def test_completes_only_with_all_shards_of_one_publication(self):
        assembler = SnapshotAssembler()
        assert assembler.add(parse_shard(make_shard(0))) is None
        assert assembler.add(parse_shard(make_shard(1, publication="q"))) is None
        snapshot = assembler.add(parse_shard(make_shard(1)))
        assert snapshot.floor.number == 5
        assert len(snapshot.entries) == 2

    @pytest.mark.parametrize(
        "text",
        [
            "[]",
            make_shard(2),
            make_shard(0, number=6),
            make_shard(0, floor=0),
            make_shard(0).replace('"p"', "1"),
        ],
    )
    def test_rejects_invalid_shard(self, text):
        with pytest.raises(TicketError):
            parse_shard(text)


class TestFindKey:
    def test_finds_by_digest_until_withdrawn(self):
        state = ConfigState()
        text = "ok-1234"
        value = Key("k1", "norddal", digest_key(text))
        state.merge([Entry(ObjectKind.KEY, "k1", 1, value, "{}")])
        assert find_key(state, text) == value
        assert find_key(state, "ok-1235") is None
        state.merge([Entry(ObjectKind.KEY, "k1", 2, None)])
        assert find_key(state, text) is None

    def test_shared_digest_survives_withdrawal_of_one(self):
        digest = digest_key("x")
        first = Entry(ObjectKind.KEY, "k1", 1, Key("k1", "a", digest), "1")
        second = Entry(ObjectKind.KEY, "k2", 2, Key("k2", "b", digest), "2")
        withdrawn = Entry(ObjectKind.KEY, "k1", 3, None)
        for order in ([first, second, withdrawn], [withdrawn, first, second]):
            state = ConfigState()
            state.merge(order)
            assert state.key_by_digest(digest).id == "k2"


class TestStalenessGuard:
    def test_is_too_stale_after_time_without_contact(self):
        clock = ManualClock()
        guard = StalenessGuard(clock, timedelta(seconds=30))
        clock.advance(timedelta(seconds=31))
        assert guard.is_too_stale()
        guard.record_contact(clock.monotonic_s())
        assert not guard.is_too_stale()

    def test_is_never_too_stale_without_a_bound(self):
        clock = ManualClock()
        guard = StalenessGuard(clock, None)
        clock.advance(timedelta(days=1))
        assert not guard.is_too_stale()


def test_object_larger_than_a_peer_message_is_rejected():
    value = {"organisation": "a" * 300_000, "digest": "0" * 64}
    objects = [{"kind": "key", "id": "k", "value": value}]
    with pytest.raises(TicketError):
        parse_ticket(json.dumps({"number": 1, "objects": objects}))
