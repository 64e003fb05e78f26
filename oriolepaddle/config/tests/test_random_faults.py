import random

import pytest

from oriolepaddle.config.tests.fleet import Fleet, make_shard, make_ticket

STEPS = 12
PLACES = ("a1", "a2", "b1")
FAULTS = (None, None, "request", "reply", "double")


class Scenario:
    """A fleet under tickets, snapshots, cuts, losses, pauses, replacements."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.fleet = Fleet()
        self.number = 0
        self.floor = 0
        self.truth = {}
        self.added = 100
        self.seen = {}
        self.issue()
        self.fleet.run(8)

    def issue(self):
        generator, fleet = self.generator, self.fleet
        self.number += 1
        name, rate = generator.choice("xyzuvw"), generator.choice([None, 1, 2, 3])
        text = make_ticket(self.number, (name, rate))
        self.truth[name] = (self.number, rate)
        if fleet.platform.is_down or generator.random() < 0.3:
            fleet.inject(generator.choice(sorted(fleet.nodes)), text)
        fleet.platform.publish(f"tickets/{self.number}", text)

    def toggle_platform(self):
        self.fleet.platform.is_down = not self.fleet.platform.is_down

    def cut(self):
        names = sorted(self.fleet.nodes)
        side = self.generator.sample(names, self.generator.randrange(1, len(names)))
        pairs = [(a, b) for a in side for b in names if b not in side]
        self.fleet.network.cut |= {p for p in pairs if self.generator.random() < 0.8}

    def heal(self):
        self.fleet.network.cut.clear()
        self.fleet.network.lose = lambda *call: None

    def lose(self):
        self.fleet.network.lose = lambda *call: self.generator.choice(FAULTS)

    def snapshot(self):
        self.floor = self.number
        live = {name: held for name, held in self.truth.items() if held[1]}
        self.fleet.platform.publish("snapshots/0", make_shard(self.floor, **live))

    def pause(self):
        fleet = self.fleet
        name = self.generator.choice(sorted(fleet.nodes))
        node = fleet.nodes.pop(name)
        fleet.network.down.add(name)
        fleet.run(self.generator.choice([1, 30]))
        fleet.network.down.discard(name)
        fleet.nodes[name] = node

    def replace(self):
        fleet = self.fleet
        if len(fleet.nodes) > 3:
            fleet.remove(self.generator.choice(sorted(fleet.nodes)))
        self.added += 1
        name = f"{self.generator.choice(PLACES)}-{self.added}"
        fleet.add(name, is_listed=self.generator.random() < 0.5)

    def step(self):
        actions = [self.issue] * 6 + [self.toggle_platform, self.cut, self.heal]
        actions += [self.lose, self.snapshot, self.pause, self.replace, self.replace]
        self.generator.choice(actions)()
        self.fleet.run(self.generator.choice([0.5, 2, 10]))
        self.check_no_revert()

    def check_no_revert(self):
        for name, node in self.fleet.nodes.items():
            before = self.seen.setdefault(name, {})
            floor = node.state.floor.number
            held = {entry.id: entry.number for entry in node.state.entries()}
            for object_id, number in before.items():
                assert max(held.get(object_id, 0), floor) >= number
            before.update(held)

    def settle(self):
        self.heal()
        self.fleet.platform.is_down = False
        self.fleet.run(90)
        self.check_no_revert()


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(8))
    def test_nothing_reverts_and_all_agree_after_the_faults(self, seed):
        scenario = Scenario(seed)
        for _ in range(STEPS):
            scenario.step()
        scenario.settle()
        nodes = scenario.fleet.nodes.values()
        live = {name: held[1] for name, held in scenario.truth.items() if held[1]}
        assert scenario.fleet.rates() == [live]
        assert len({node.state.digest for node in nodes}) == 1
        assert all(node.sync.is_caught_up() for node in nodes)
