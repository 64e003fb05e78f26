from datetime import timedelta

from oriolepaddle.config.tests.fleet import (
    IN_FORCE_S,
    NAMES,
    Fleet,
    Platform,
    make_shard,
    make_ticket,
)


class TestCatchUp:
    def test_stale_platform_reverts_nothing(self, fleet):
        stale = Platform()
        stale.publish("tickets/1", make_ticket(1, ("x", 1), ("y", 1)))
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(IN_FORCE_S)
        node = fleet.add("a1-9", service=stale)
        caught_up_with = None
        for _ in range(40):
            fleet.run(0.25)
            if node.sync.is_caught_up() and caught_up_with is None:
                caught_up_with = node.rates()
        assert caught_up_with == {"y": 1}
        assert fleet.rates() == [{"y": 1}]

    def test_stale_platform_and_first_calls_lost(self, fleet):
        stale = Platform()
        stale.publish("tickets/1", make_ticket(1, ("x", 1), ("y", 1)))
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(IN_FORCE_S)
        lost = set()

        def lose_first(*call):
            if call in lost:
                return None
            lost.add(call)
            return "request"

        fleet.network.lose = lose_first
        node = fleet.add("a1-9", service=stale)
        while not node.sync.is_caught_up():
            fleet.run(0.25)
        assert node.rates() == {"y": 1}

    def test_platform_down_catches_up_from_peers(self, fleet):
        fleet.platform.is_down = True
        node = fleet.add("a1-9", is_listed=False)
        assert not node.sync.is_caught_up()
        fleet.run(IN_FORCE_S)
        assert node.sync.is_caught_up()
        assert node.rates() == {"x": 1, "y": 1}

    def test_nobody_reachable_stays_not_ready(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(["a1-9"], NAMES)
        node = fleet.add("a1-9", is_listed=False)
        fleet.run(120)
        assert not node.sync.is_caught_up()

    def test_setting_serves_without_catch_up(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(["a1-9"], NAMES)
        node = fleet.add("a1-9", is_listed=False, serve_without_catch_up=True)
        assert not node.sync.is_caught_up()
        fleet.run(60)
        assert node.sync.is_caught_up()

    def test_empty_instances_do_not_vouch_for_each_other(self):
        fleet = Fleet([])
        fleet.platform.is_down = True
        for name in NAMES:
            fleet.add(name)
        fleet.run(60)
        assert not any(node.sync.is_caught_up() for node in fleet.nodes.values())
        fleet.platform.is_down = False
        fleet.run(60)
        assert all(node.sync.is_caught_up() for node in fleet.nodes.values())

    def test_replacement_of_every_instance_with_platform_down(self, fleet):
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None), ("z", 3)))
        fleet.run(IN_FORCE_S)
        fleet.platform.is_down = True
        for number, name in enumerate(NAMES):
            node = fleet.add(f"{name[:2]}-{number + 10}", is_listed=False)
            fleet.run(IN_FORCE_S)
            assert node.sync.is_caught_up()
            fleet.remove(name)
            fleet.run(2)
        assert fleet.rates() == [{"y": 1, "z": 3}]


class TestFloor:
    def test_snapshot_drops_tombstones_everywhere(self, fleet):
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(IN_FORCE_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(IN_FORCE_S)
        for node in fleet.nodes.values():
            assert [entry.id for entry in node.state.entries()] == ["y"]
            assert node.state.floor.number == 2

    def test_instance_of_before_the_floor_reverts_nothing(self, fleet):
        node = fleet.nodes.pop("a1-1")
        fleet.network.down.add("a1-1")
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(IN_FORCE_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(IN_FORCE_S)
        fleet.platform.is_down = True
        fleet.network.down.discard("a1-1")
        fleet.nodes["a1-1"] = node
        fleet.run(60)
        assert fleet.rates() == [{"y": 1}]
        assert node.state.floor.number == 2
        assert len({node.state.digest for node in fleet.nodes.values()}) == 1

    def test_old_instance_that_cannot_call_out_learns_the_withdrawal(self, fleet):
        node = fleet.nodes.pop("a1-1")
        fleet.network.down.add("a1-1")
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(IN_FORCE_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(IN_FORCE_S)
        fleet.platform.is_down = True
        fleet.network.down.discard("a1-1")
        fleet.network.cut |= {("a1-1", other) for other in NAMES}
        fleet.nodes["a1-1"] = node
        fleet.run(90)
        assert node.rates() == {"y": 1}


class TestStaleness:
    def test_cut_off_instance_refuses_and_recovers(self, fleet):
        node = fleet.nodes["a1-0"]
        fleet.platform.is_down = True
        fleet.run(90)
        assert not node.staleness.is_too_stale()
        fleet.network.split(["a1-0"], NAMES[1:])
        fleet.run(90)
        assert node.staleness.is_too_stale()
        fleet.network.cut.clear()
        fleet.run(30)
        assert not node.staleness.is_too_stale()

    def test_pause_counts(self, fleet):
        fleet.clock.advance(timedelta(minutes=5))
        assert fleet.nodes["a1-0"].staleness.is_too_stale()
