import random

import pytest

from oriolepaddle.config import parse_ticket
from oriolepaddle.config.tests.fleet import (
    INSTANCE_NAMES,
    PROPAGATION_S,
    Fleet,
    Platform,
    make_ticket,
)
from oriolepaddle.peers.gen_py.configuration.ttypes import EntryRecord, PushRequest


class TestSpread:
    def test_published_ticket_reaches_every_instance(self, fleet):
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"y": 1}]

    def test_ticket_of_one_instance_spreads_with_platform_down(self, fleet):
        fleet.platform.is_down = True
        fleet.merge_ticket("b1-1", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"y": 1}]

    @pytest.mark.parametrize("place", range(len(INSTANCE_NAMES)))
    def test_one_instance_that_reads_tells_all(self, fleet, place):
        stale = Platform()
        for number, instance in enumerate(fleet.instances.values()):
            if number != place:
                for reader in instance.reader.readers:
                    reader._service = stale
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", 5)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 5, "y": 1}]

    @pytest.mark.parametrize("fault", ["request", "reply", "double"])
    def test_faulty_messages_are_repaired(self, fleet, fault):
        fleet.platform.is_down = True
        generator = random.Random(3)
        fleet.network.lose = lambda *call: fault if generator.random() < 0.4 else None
        for number in range(2, 8):
            name = INSTANCE_NAMES[number % len(INSTANCE_NAMES)]
            fleet.merge_ticket(
                name, make_ticket(number, ("x", number), (f"o{number}", 1))
            )
            fleet.run(1)
        fleet.network.lose = lambda *call: None
        fleet.run(3 * PROPAGATION_S)
        (rates,) = fleet.distinct_rates()
        assert (
            len({instance.state.digest for instance in fleet.instances.values()}) == 1
        )
        assert rates["x"] == 7
        assert len(rates) == 8

    def test_all_pushes_lost_is_repaired_by_comparison(self, fleet):
        fleet.platform.is_down = True
        fleet.network.lose = lambda a, b, method: (
            "request" if method == "push" else None
        )
        fleet.merge_ticket("a1-0", make_ticket(2, ("x", 2)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 2, "y": 1}]

    @pytest.mark.parametrize("direction", [0, 1])
    def test_one_way_cut(self, fleet, direction):
        fleet.platform.is_down = True
        others = INSTANCE_NAMES[:5]
        for other in others:
            pair = ("b1-1", other) if direction else (other, "b1-1")
            fleet.network.cut.add(pair)
        fleet.merge_ticket("b1-1", make_ticket(2, ("x", 2)))
        fleet.merge_ticket("a1-0", make_ticket(3, ("y", None)))
        fleet.run(4 * PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 2}]

    def test_peer_that_is_reachable_only_through_another(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(
            ["b1-1"], [name for name in INSTANCE_NAMES if name[:2] != "a2"]
        )
        fleet.run(10)
        fleet.merge_ticket("a1-0", make_ticket(2, ("x", None)))
        fleet.run(3 * PROPAGATION_S)
        assert fleet.distinct_rates() == [{"y": 1}]

    def test_partition_heals(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(INSTANCE_NAMES[:2], INSTANCE_NAMES[2:])
        fleet.merge_ticket("a1-0", make_ticket(2, ("x", 2)))
        fleet.merge_ticket("b1-0", make_ticket(3, ("x", 3), ("z", 1)))
        fleet.run(60)
        assert len(fleet.distinct_rates()) == 2
        fleet.network.cut.clear()
        fleet.run(30)
        assert fleet.distinct_rates() == [{"x": 3, "y": 1, "z": 1}]

    def test_pause_and_wake(self, fleet):
        instance = fleet.instances.pop("a1-1")
        fleet.network.down.add("a1-1")
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(120)
        fleet.network.down.discard("a1-1")
        fleet.instances["a1-1"] = instance
        fleet.platform.is_down = True
        fleet.run(3 * PROPAGATION_S)
        assert fleet.distinct_rates() == [{"y": 1}]

    def test_ticket_larger_than_a_message_is_merged_at_once(self, fleet):
        fleet.platform.is_down = True
        merged_batches = []
        fleet.instances["a2-0"].state.add_listener(
            lambda changed: merged_batches.append(changed)
        )
        count = 3_000
        changes = [(f"o{number:0150d}", 1) for number in range(count)]
        fleet.merge_ticket("a1-0", make_ticket(2, *changes))
        fleet.run(2 * PROPAGATION_S)
        assert [len(changed) for changed in merged_batches] == [count]

    def test_invalid_entry_rejects_its_whole_ticket(self, fleet):
        request = PushBuilder("a1-0").build(("good", 5, VALUE), ("bad", 5, "{}"))
        fleet.instances["a1-1"].sync.handler.push(request)
        instance = fleet.instances["a1-1"]
        assert "good" not in instance.rates()
        assert instance.rejections.counts() == {"entry_invalid": 1}

    def test_lost_part_drops_the_transfer(self, fleet):
        handler = fleet.instances["a1-1"].sync.handler
        builder = PushBuilder("a1-0")
        first = builder.build(("p", 5, VALUE), is_last=False)
        last = builder.build(("q", 5, VALUE), part=2)
        assert handler.push(first).is_accepted
        assert not handler.push(last).is_accepted
        assert fleet.instances["a1-1"].rates() == {"x": 1, "y": 1}


VALUE = '{"rate_tokens_per_s":1,"burst_tokens":1}'


class PushBuilder:
    def __init__(self, sender):
        self.sender = sender

    def build(self, *entries, part=0, is_last=True):
        records = [
            EntryRecord("organisation", name, number, document)
            for name, number, document in entries
        ]
        return PushRequest(self.sender, 1, part, is_last, records)


class TestReconciliation:
    def test_bucket_larger_than_a_message_is_fetched_in_parts(self, fleet, monkeypatch):
        monkeypatch.setattr("oriolepaddle.config.handler.MAX_MESSAGE_BYTES", 50)
        fleet.platform.is_down = True
        changes = [(f"o{number}", 1) for number in range(600)]
        fleet.instances["a1-0"].state.merge(
            parse_ticket(make_ticket(2, *changes)).entries
        )
        instance = fleet.add("a1-9", is_listed=False)
        fleet.run(4)
        assert instance.state.digest == fleet.instances["a1-0"].state.digest


class TestPlatformReader:
    def test_invalid_ticket_is_rejected_whole_and_recorded(self, fleet):
        text = make_ticket(2, ("x", 9), ("z", -1))
        fleet.platform.publish("tickets/2", text)
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 1, "y": 1}]
        rejections = fleet.instances["a1-0"].rejections
        assert rejections.counts() == {"ticket_invalid": 1}
        assert rejections.recent()[0].source == "tickets/2"

    def test_reads_page_by_page(self):
        fleet = Fleet(["a1-0"])
        fleet.platform.page_size = 2
        for number in range(1, 8):
            fleet.platform.publish(
                f"tickets/{number}", make_ticket(number, (f"o{number}", 1))
            )
        fleet.run(5)
        assert len(fleet.distinct_rates()[0]) == 7

    def test_restored_backup_with_lower_revisions_is_read(self, fleet):
        fleet.platform.values = fleet.platform.values[:1]
        for number in range(2, 6):
            fleet.platform.publish(f"tickets/{number}", make_ticket(number, ("x", 2)))
        fleet.run(PROPAGATION_S)
        fleet.platform.values = []
        fleet.platform.publish("tickets/9", make_ticket(9, ("x", 9)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 9, "y": 1}]

    def test_one_number_twice_is_settled_alike_and_shown(self, fleet):
        fleet.platform.publish("tickets/2a", make_ticket(2, ("x", 5)))
        fleet.run(2)
        fleet.platform.publish("tickets/2b", make_ticket(2, ("x", 7)))
        fleet.run(PROPAGATION_S)
        assert fleet.distinct_rates() == [{"x": 7, "y": 1}]
        for instance in fleet.instances.values():
            assert instance.state.conflict_count > 0

    def test_calls_after_an_outage_are_spread_over_time(self):
        fleet = Fleet()
        fleet.platform.is_down = True
        fleet.run(300)
        fleet.platform.is_down = False
        due_times_s = {
            reader.due_at_s
            for instance in fleet.instances.values()
            for reader in instance.reader.readers
        }
        assert max(due_times_s) - min(due_times_s) > 5
        before = fleet.platform.read_count
        fleet.run(1)
        assert fleet.platform.read_count - before <= len(INSTANCE_NAMES)
