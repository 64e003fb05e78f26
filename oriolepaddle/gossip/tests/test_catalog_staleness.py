"""Catalog staleness under network partitions, pauses and delayed datagrams."""

from datetime import timedelta

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.catalog import (
    CallerLimits,
    CatalogChange,
    CatalogReading,
    ConfigDocument,
    EndpointState,
    RegisteredEndpoint,
)
from oriolepaddle.gossip.tests.fleet import GossipFleet

NAMES = ("n1", "n2", "n3", "s1")
ENDPOINTS = ("e1", "e2")
TOLERANCE_S = 1e-5
"""Ages are sent in whole microseconds."""
names = st.sampled_from(NAMES)


def make_endpoint(name):
    return RegisteredEndpoint(
        name, 1, "desk", f"{name}:80", "nordur-a", 6, EndpointState.READY
    )


class Store:
    """The platform's store, with the times at which its parts changed."""

    def __init__(self):
        self.revision = 1
        self.versions = [(0, 0.0)]
        self.registered = {}
        self.history = []

    def publish(self, now_s):
        self.revision += 1
        self.versions.append((len(self.versions), now_s))

    def toggle(self, name, now_s):
        """Register an endpoint, or remove it if it is registered."""
        self.revision += 1
        since_s = self.registered.pop(name, None)
        if since_s is None:
            self.registered[name] = now_s
        else:
            self.history.append((name, since_s, now_s))

    def read(self):
        version = self.versions[-1][0]
        document = ConfigDocument(version, {}, {}, None, {}, CallerLimits(), b"")
        changes = [CatalogChange("op/config", document=document)]
        changes += [
            CatalogChange(f"servers/{name}", endpoint=make_endpoint(name))
            for name in self.registered
        ]
        return CatalogReading(tuple(changes), self.revision, is_whole=True)


class StalenessMachine(RuleBasedStateMachine):
    """A changing store, and instances that read it late or know it by gossip only."""

    def __init__(self):
        super().__init__()
        self.fleet = GossipFleet()
        for name in NAMES:
            data_centre = "sudur-a" if name == "s1" else "nordur-a"
            size = 2.0 if name in ("n1", "n2") else 1.0
            self.fleet.add(
                name, data_centre, size, seeds=[] if name == "n1" else ["n1"]
            )
        self.store = Store()
        self.pending_replies = {}
        for name in ("n1", "n2", "s1"):
            self.read_store(name, 0)
        self.fleet.run(timedelta(seconds=1))

    @property
    def now_s(self):
        return self.fleet.clock.monotonic_s()

    @rule(milliseconds=st.integers(1, 1500))
    def pass_time(self, milliseconds):
        self.fleet.clock.advance(timedelta(milliseconds=milliseconds))

    @rule()
    def publish(self):
        self.store.publish(self.now_s)

    @rule(name=st.sampled_from(ENDPOINTS))
    def toggle_endpoint(self, name):
        self.store.toggle(name, self.now_s)

    @rule(name=names, milliseconds=st.integers(0, 900))
    def read_store(self, name, milliseconds):
        """Apply a late reply, which holds the state at the time of the request."""
        requested_at_s, reading = self.now_s, self.store.read()
        self.pass_time(milliseconds)
        if name not in self.fleet.frozen:
            self.fleet.instances[name].state.catalog.apply(reading, requested_at_s)

    @rule(name=names)
    def send_request(self, name):
        self.pending_replies[name] = (self.now_s, self.store.read())

    @rule()
    def apply_replies(self):
        for name in sorted(self.pending_replies.keys() - self.fleet.frozen):
            requested_at_s, reading = self.pending_replies.pop(name)
            self.fleet.instances[name].state.catalog.apply(reading, requested_at_s)

    @rule(name=names)
    def freeze_or_wake(self, name):
        self.fleet.frozen ^= {name}

    @rule(one=names, other=names)
    def cut_or_join(self, one, other):
        pair = (self.fleet.instances[one].host, self.fleet.instances[other].host)
        self.fleet.cut ^= {pair}

    @rule(is_late=st.booleans())
    def gossip(self, is_late):
        self.fleet.send_round()
        if is_late:
            self.fleet.delayed += list(self.fleet.wire)
            self.fleet.wire.clear()
        self.fleet.deliver()

    @rule(milliseconds=st.integers(0, 3000), is_lost=st.booleans())
    def deliver_delayed(self, milliseconds, is_lost):
        self.pass_time(milliseconds)
        if not is_lost:
            self.fleet.wire.extend(self.fleet.delayed)
        self.fleet.delayed.clear()
        self.fleet.deliver()

    @invariant()
    def withdrawn_keys_are_known_or_the_age_shows_it(self):
        for instance in self.fleet.instances.values():
            catalog = instance.state.catalog
            unknown = [
                at for version, at in self.store.versions if version > catalog.version
            ]
            if unknown:
                assert catalog.age_s() >= self.now_s - min(unknown) - TOLERANCE_S

    @invariant()
    def endpoints_that_left_are_known_or_the_age_shows_it(self):
        for instance in self.fleet.instances.values():
            catalog = instance.state.catalog
            known = {item.id for item in catalog.endpoints()}
            complete_s = catalog.endpoints_confirmed_at_s - TOLERANCE_S
            for name, since_s in self.store.registered.items():
                assert name in known or complete_s <= since_s
            for name in known - set(self.store.registered):
                left_s = max(
                    at for endpoint, _, at in self.store.history if endpoint == name
                )
                assert complete_s <= left_s


TestStalenessSafety = StalenessMachine.TestCase
TestStalenessSafety.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None
)
