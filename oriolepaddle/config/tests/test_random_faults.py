import random

import pytest

from oriolepaddle.config.tests.fleet import Fleet, make_shard, make_ticket

STEPS = 12
DATA_CENTRES = ("a1", "a2", "b1")
FAULTS = (None, None, "request", "reply", "double")


class Scenario:
    """A fleet with random tickets, snapshots and faults.

    The faults are outages of the platform, partitions, lost messages, pauses and
    replacements of instances.
    """

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.fleet = Fleet()
        self.last_ticket = 0
        self.floor = 0
        self.expected_entries = {}
        self.last_added = 100
        self.highest_seen = {}
        self.issue()
        self.fleet.run(8)

    def issue(self):
        generator, fleet = self.generator, self.fleet
        self.last_ticket += 1
        name, rate = generator.choice("xyzuvw"), generator.choice([None, 1, 2, 3])
        text = make_ticket(self.last_ticket, (name, rate))
        self.expected_entries[name] = (self.last_ticket, rate)
        if fleet.platform.is_down or generator.random() < 0.3:
            fleet.merge_ticket(generator.choice(sorted(fleet.instances)), text)
        fleet.platform.publish(f"tickets/{self.last_ticket}", text)

    def toggle_platform(self):
        self.fleet.platform.is_down = not self.fleet.platform.is_down

    def cut(self):
        names = sorted(self.fleet.instances)
        side = self.generator.sample(names, self.generator.randrange(1, len(names)))
        pairs = [(a, b) for a in side for b in names if b not in side]
        self.fleet.network.cut |= {p for p in pairs if self.generator.random() < 0.8}

    def heal(self):
        self.fleet.network.cut.clear()
        self.fleet.network.lose = lambda *call: None

    def lose(self):
        self.fleet.network.lose = lambda *call: self.generator.choice(FAULTS)

    def snapshot(self):
        self.floor = self.last_ticket
        live = {
            name: state for name, state in self.expected_entries.items() if state[1]
        }
        self.fleet.platform.publish("snapshots/0", make_shard(self.floor, **live))

    def pause(self):
        fleet = self.fleet
        name = self.generator.choice(sorted(fleet.instances))
        instance = fleet.instances.pop(name)
        fleet.network.down.add(name)
        fleet.run(self.generator.choice([1, 30]))
        fleet.network.down.discard(name)
        fleet.instances[name] = instance

    def replace(self):
        fleet = self.fleet
        if len(fleet.instances) > 3:
            fleet.remove(self.generator.choice(sorted(fleet.instances)))
        self.last_added += 1
        name = f"{self.generator.choice(DATA_CENTRES)}-{self.last_added}"
        fleet.add(name, is_listed=self.generator.random() < 0.5)

    def step(self):
        actions = [self.issue] * 6 + [self.toggle_platform, self.cut, self.heal]
        actions += [self.lose, self.snapshot, self.pause, self.replace, self.replace]
        self.generator.choice(actions)()
        self.fleet.run(self.generator.choice([0.5, 2, 10]))
        self.check_no_revert()

    def check_no_revert(self):
        for name, instance in self.fleet.instances.items():
            before = self.highest_seen.setdefault(name, {})
            floor = instance.state.floor.number
            numbers = {entry.id: entry.number for entry in instance.state.entries()}
            for object_id, number in before.items():
                assert max(numbers.get(object_id, 0), floor) >= number
            before.update(numbers)

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
        instances = scenario.fleet.instances.values()
        live = {
            name: state[1]
            for name, state in scenario.expected_entries.items()
            if state[1]
        }
        assert scenario.fleet.distinct_rates() == [live]
        assert len({instance.state.digest for instance in instances}) == 1
        assert all(instance.sync.is_caught_up() for instance in instances)
