from datetime import timedelta

from oriolepaddle.config.tests.fleet import (
    INSTANCE_NAMES,
    PROPAGATION_S,
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
        fleet.run(PROPAGATION_S)
        instance = fleet.add("a1-9", platform=stale)
        caught_up_with = None
        for _ in range(40):
            fleet.run(0.25)
            if instance.sync.is_caught_up() and caught_up_with is None:
                caught_up_with = instance.rates()
        assert caught_up_with == {"y": 1}
        assert fleet.distinct_rates() == [{"y": 1}]

    def test_stale_platform_and_first_calls_lost(self, fleet):
        stale = Platform()
        stale.publish("tickets/1", make_ticket(1, ("x", 1), ("y", 1)))
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        lost = set()

        def lose_first(*call):
            if call in lost:
                return None
            lost.add(call)
            return "request"

        fleet.network.lose = lose_first
        instance = fleet.add("a1-9", platform=stale)
        while not instance.sync.is_caught_up():
            fleet.run(0.25)
        assert instance.rates() == {"y": 1}

    def test_platform_down_catches_up_from_peers(self, fleet):
        fleet.platform.is_down = True
        instance = fleet.add("a1-9", is_listed=False)
        assert not instance.sync.is_caught_up()
        fleet.run(PROPAGATION_S)
        assert instance.sync.is_caught_up()
        assert instance.rates() == {"x": 1, "y": 1}

    def test_nobody_reachable_stays_not_ready(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(["a1-9"], INSTANCE_NAMES)
        instance = fleet.add("a1-9", is_listed=False)
        fleet.run(120)
        assert not instance.sync.is_caught_up()

    def test_setting_serves_without_catch_up(self, fleet):
        fleet.platform.is_down = True
        fleet.network.split(["a1-9"], INSTANCE_NAMES)
        instance = fleet.add("a1-9", is_listed=False, serve_without_catch_up=True)
        assert not instance.sync.is_caught_up()
        fleet.run(60)
        assert instance.sync.is_caught_up()

    def test_empty_instances_do_not_vouch_for_each_other(self):
        fleet = Fleet([])
        fleet.platform.is_down = True
        for name in INSTANCE_NAMES:
            fleet.add(name)
        fleet.run(60)
        assert not any(
            instance.sync.is_caught_up() for instance in fleet.instances.values()
        )
        fleet.platform.is_down = False
        fleet.run(60)
        assert all(
            instance.sync.is_caught_up() for instance in fleet.instances.values()
        )

    def test_replacement_of_every_instance_with_platform_down(self, fleet):
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None), ("z", 3)))
        fleet.run(PROPAGATION_S)
        fleet.platform.is_down = True
        for number, name in enumerate(INSTANCE_NAMES):
            instance = fleet.add(f"{name[:2]}-{number + 10}", is_listed=False)
            fleet.run(PROPAGATION_S)
            assert instance.sync.is_caught_up()
            fleet.remove(name)
            fleet.run(2)
        assert fleet.distinct_rates() == [{"y": 1, "z": 3}]


class TestFloor:
    def test_snapshot_drops_tombstones_everywhere(self, fleet):
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(PROPAGATION_S)
        for instance in fleet.instances.values():
            assert [entry.id for entry in instance.state.entries()] == ["y"]
            assert instance.state.floor.number == 2

    def test_instance_from_before_the_floor_reverts_nothing(self, fleet):
        instance = fleet.instances.pop("a1-1")
        fleet.network.down.add("a1-1")
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(PROPAGATION_S)
        fleet.platform.is_down = True
        fleet.network.down.discard("a1-1")
        fleet.instances["a1-1"] = instance
        fleet.run(60)
        assert fleet.distinct_rates() == [{"y": 1}]
        assert instance.state.floor.number == 2
        assert (
            len({instance.state.digest for instance in fleet.instances.values()}) == 1
        )

    def test_old_instance_that_cannot_call_out_learns_the_withdrawal(self, fleet):
        instance = fleet.instances.pop("a1-1")
        fleet.network.down.add("a1-1")
        fleet.platform.publish("tickets/2", make_ticket(2, ("x", None)))
        fleet.run(PROPAGATION_S)
        fleet.platform.publish("snapshots/0", make_shard(2, y=(1, 1)))
        fleet.run(PROPAGATION_S)
        fleet.platform.is_down = True
        fleet.network.down.discard("a1-1")
        fleet.network.cut |= {("a1-1", other) for other in INSTANCE_NAMES}
        fleet.instances["a1-1"] = instance
        fleet.run(90)
        assert instance.rates() == {"y": 1}


class TestStaleness:
    def test_cut_off_instance_refuses_and_recovers(self, fleet):
        instance = fleet.instances["a1-0"]
        fleet.platform.is_down = True
        fleet.run(90)
        assert not instance.staleness.is_too_stale()
        fleet.network.split(["a1-0"], INSTANCE_NAMES[1:])
        fleet.run(90)
        assert instance.staleness.is_too_stale()
        fleet.network.cut.clear()
        fleet.run(30)
        assert not instance.staleness.is_too_stale()

    def test_pause_counts(self, fleet):
        fleet.clock.advance(timedelta(minutes=5))
        assert fleet.instances["a1-0"].staleness.is_too_stale()
