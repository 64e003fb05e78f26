"""Random interleavings of requests, faults and changes stay within the limits."""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from experiments.limits.network import Fault
from oriolepaddle.config.model import DataCentre, Organisation
from oriolepaddle.limits.tests.scenario import (
    ORGANISATION,
    SETTINGS,
    drain,
    make_entry,
    make_fleet,
    make_log,
    try_reserve,
)

CENTRES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
NAMES = st.sampled_from(sorted(CENTRES))
GROUPS = st.sets(NAMES, min_size=1, max_size=4)
DRIFT = SETTINGS.max_clock_drift
FAULTS = [
    Fault(is_lost=True),
    Fault(is_reply_lost=True),
    Fault(is_doubled=True),
    Fault(is_delayed=True),
]


class FleetMachine(RuleBasedStateMachine):
    """Instance b1 never stops, so that the fleet never loses all its state."""

    @initialize(drifts=st.lists(st.sampled_from([-DRIFT, DRIFT]), min_size=5))
    def start(self, drifts):
        self.number = 1
        self.pending = []
        self.fleet = make_fleet({**CENTRES}, drifts)
        self.drifts = dict(zip(CENTRES, drifts, strict=False))
        self.log = make_log()

    @rule(name=NAMES, tokens=st.sampled_from([1.0, 60.0, 300.0, 1000.0]))
    def reserve(self, name, tokens):
        if self.is_running(name):
            organisation = self.fleet.instances[name].config.organisation("norddal")
            try_reserve(self.fleet, self.log, name, tokens, organisation)

    @rule()
    def drain_all(self):
        for name in filter(self.is_running, CENTRES):
            organisation = self.fleet.instances[name].config.organisation("norddal")
            drain(self.fleet, self.log, [name], 25.0, organisation)

    @rule(index=st.integers(0, 50), part=st.sampled_from([0.0, 0.3, 1.0]))
    def settle(self, index, part):
        if index < len(self.log.uses):
            index = len(self.log.uses) - 1 - index
            self.log.settle(index, part * self.log.uses[index].tokens)

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 10.0, 40.0]))
    def run(self, seconds):
        self.fleet.run(seconds, step_s=1.0 if seconds >= 3 else 0.5)

    @rule(seconds=st.sampled_from([2.0, 5.0, 60.0]))
    def pass_without_tasks(self, seconds):
        self.fleet.advance(seconds)

    @rule(name=NAMES)
    def pause_or_wake(self, name):
        if name in self.fleet.instances:
            self.fleet.pause(name, not self.fleet.instances[name].is_paused)

    @rule(name=NAMES)
    def crash(self, name):
        if name in self.fleet.instances and name != "b1":
            self.fleet.stop(name)

    @rule(name=NAMES)
    def leave(self, name):
        if self.is_running(name) and name != "b1":
            self.fleet.instances[name].limiter.hand_over()
            self.fleet.stop(name)
            self.fleet.unlist(name)

    @rule(name=NAMES)
    def restart(self, name):
        if name not in self.fleet.instances:
            self.fleet.start(name, CENTRES[name], self.drifts[name])

    @rule(name=NAMES)
    def lose_platform(self, name):
        if name in self.fleet.instances:
            self.fleet.instances[name].has_platform = False

    @rule(name=NAMES)
    def unlist(self, name):
        instance = self.fleet.instances.get(name)
        if name != "b1" and (instance is None or not instance.has_platform):
            self.fleet.unlist(name)

    @rule(name=NAMES, lag_s=st.sampled_from([0.0, 3.0]))
    def regain_platform(self, name, lag_s):
        instance = self.fleet.instances.get(name)
        if instance is not None and not instance.has_platform:
            instance.has_platform = True
            instance.list_lag_s = lag_s
            self.fleet.list(name, CENTRES[name])

    @rule(name=NAMES)
    def lose(self, name):
        self.crash(name)
        if name not in self.fleet.instances:
            self.fleet.unlist(name)

    @rule(names=GROUPS)
    def cut_off(self, names):
        """Disconnect some instances from all others and from the platform."""
        names = names - {"b1"}
        self.fleet.network.cut(names, set(CENTRES) - names)
        for name in names:
            self.lose_platform(name)
            self.unlist(name)

    @rule(sources=GROUPS, both=st.booleans())
    def cut(self, sources, both):
        self.fleet.network.cut(sources, set(CENTRES) - sources, both)

    @rule()
    def heal(self):
        self.fleet.network.cuts.clear()

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=6))
    def disturb(self, faults):
        self.fleet.network.faults.extend(faults)

    @precondition(lambda self: self.fleet.network.delayed)
    @rule(index=st.integers(0, 3))
    def deliver_late(self, index):
        self.fleet.network.deliver(index % len(self.fleet.network.delayed))

    @rule(weight=st.sampled_from([0.0, 1.0, 3.0]), centre=st.sampled_from("ab"))
    def change_weight(self, weight, centre):
        self.publish(DataCentre(centre, region=centre, weight=weight))

    @rule(rate=st.sampled_from([10, 100]), burst=st.sampled_from([300, 1000]))
    def change_rate(self, rate, burst):
        self.publish(
            Organisation("norddal", rate_tokens_per_s=rate, burst_tokens=burst)
        )

    @rule(name=NAMES, index=st.integers(0, 9))
    def spread(self, name, index):
        if name in self.fleet.instances and self.pending:
            entry = self.pending[-1 - index % len(self.pending)]
            self.fleet.instances[name].config.merge([entry])
            self.record_limit()

    @rule()
    def spread_all(self):
        for instance in self.fleet.instances.values():
            instance.config.merge(self.pending)
        self.record_limit()

    @invariant()
    def never_overshoots(self):
        if hasattr(self, "log"):
            assert self.log.overshoot() <= 1e-6

    @invariant()
    def shares_add_up_to_one(self):
        if hasattr(self, "log"):
            shares = [
                self.fleet.instances[name].limiter.snapshot(ORGANISATION).share
                for name in CENTRES
                if self.is_running(name)
            ]
            assert sum(shares) <= 1 + 1e-9

    def is_running(self, name):
        instance = self.fleet.instances.get(name)
        return instance is not None and not instance.is_paused

    def publish(self, value):
        self.number += 1
        self.pending.append(make_entry(value, self.number))

    def record_limit(self):
        organisations = [
            instance.config.organisation("norddal")
            for instance in self.fleet.instances.values()
        ]
        rate = max(organisation.rate_tokens_per_s for organisation in organisations)
        burst = max(organisation.burst_tokens for organisation in organisations)
        self.log.limit(self.fleet.now_s, rate, burst)


TestInterleavings = FleetMachine.TestCase
TestInterleavings.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
