"""A fleet of the real classes on a network and a platform of the test."""

import json
import random
from datetime import timedelta

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import (
    ConfigState,
    ConfigSync,
    PlatformReader,
    Rejections,
    StalenessGuard,
    parse_ticket,
)
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.membership import Membership, MembershipHandler
from oriolepaddle.membership.tests.network import Network
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import (
    Instance,
    InstanceList,
    ServiceReading,
    ServiceValue,
)

IN_FORCE_S = 8
STEP = timedelta(milliseconds=250)
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
NAMES = [f"{place}-{number}" for place in REGIONS for number in range(2)]


class Platform:
    """The configuration service; `page` bounds the values of one reading."""

    def __init__(self):
        self.values = []
        self.is_down = False
        self.page = 1000
        self.calls = 0
        self.first_revision = 0

    def publish(self, key, text):
        self.values = [value for value in self.values if value.key != key]
        self.values.append(ServiceValue(key, text, self.revision + 1))

    @property
    def revision(self):
        last = self.values[-1].revision if self.values else 0
        return max(last, self.first_revision)

    def read(self, prefix, after_revision=0):
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        values = [
            value
            for value in self.values
            if value.key.startswith(prefix) and value.revision > after_revision
        ]
        if len(values) > self.page:
            kept = tuple(values[: self.page])
            return ServiceReading(kept, kept[-1].revision, is_complete=False)
        return ServiceReading(tuple(values), self.revision)

    def watch(self, prefix, after_revision, timeout):
        return self.read(prefix, after_revision)


def make_ticket(number, *changes):
    """Make a ticket of (organisation, rate) pairs; a rate of None deletes."""
    objects = [
        {
            "kind": "organisation",
            "id": name,
            "value": rate and {"rate_tokens_per_s": rate, "burst_tokens": 1},
        }
        for name, rate in changes
    ]
    return json.dumps({"number": number, "objects": objects})


def make_shard(floor, **rates):
    """Make the one shard of a snapshot from `name=(number, rate)`."""
    entries = [
        {
            "kind": "organisation",
            "id": name,
            "number": number,
            "value": {"rate_tokens_per_s": rate, "burst_tokens": 1},
        }
        for name, (number, rate) in rates.items()
    ]
    document = {"floor": floor, "publication": "p", "shard": 0, "shards": 1}
    return json.dumps(document | {"entries": entries})


class Node:
    def __init__(self, fleet, name, incarnation, service, seeds, **settings):
        seed = f"{name}/{incarnation}"
        self.state = ConfigState()
        self.rejections = Rejections(fleet.clock)
        self.staleness = StalenessGuard(fleet.clock, timedelta(seconds=60))
        data_centre = name.split("-")[0]
        self.membership = Membership(
            fleet.clock,
            PeerIdentity(name, incarnation, data_centre),
            make_instance(name),
            fleet.network.caller(name),
            lambda: (self.state.digest, self.state.highest_number),
            REGIONS.get,
            random.Random(seed),
            seeds,
        )
        self.sync = ConfigSync(
            fleet.clock,
            name,
            self.state,
            fleet.network.caller(name),
            self.membership,
            self.rejections,
            self.staleness,
            random.Random(seed),
            **settings,
        )
        self.reader = PlatformReader(
            fleet.clock,
            service,
            self.sync.platform_target,
            self.rejections,
            self.staleness,
            random.Random(seed),
        )
        self.sync.set_platform_reader(self.reader)
        fleet.network.attach(name, "membership", MembershipHandler(self.membership))
        fleet.network.attach(name, "configuration", self.sync.handler)

    def tick(self):
        self.membership.tick()
        self.reader.tick()
        self.sync.tick()

    def rates(self):
        return {o.id: o.rate_tokens_per_s for o in self.state.organisations()}


def make_instance(name):
    return Instance(name, name.split("-")[0], f"{name}:80", f"{name}:81")


class Fleet:
    def __init__(self, names=NAMES):
        self.clock = ManualClock()
        self.network = Network()
        self.platform = Platform()
        self.nodes = {}
        for name in names:
            self.add(name)

    def add(self, name, incarnation=1, is_listed=True, service=None, **settings):
        seeds = tuple(make_instance(other) for other in self.nodes)
        node = Node(
            self, name, incarnation, service or self.platform, seeds, **settings
        )
        self.nodes[name] = node
        self.network.down.discard(name)
        if is_listed:
            self.publish_list()
        return node

    def publish_list(self):
        instances = tuple(make_instance(name) for name in self.nodes)
        now_s = self.clock.monotonic_s()
        for node in self.nodes.values():
            held = node.membership.published()
            revision = held.revision + 1 if held else 1
            node.membership.apply_list(InstanceList(instances, revision, now_s))

    def remove(self, name):
        self.network.down.add(name)
        del self.nodes[name]

    def run(self, seconds):
        for _ in range(int(seconds / STEP.total_seconds())):
            for node in list(self.nodes.values()):
                node.tick()
            self.clock.advance(STEP)

    def inject(self, name, text):
        self.nodes[name].state.merge(parse_ticket(text).entries)

    def rates(self):
        """Return the different configurations in force, one if all agree."""
        rates = []
        for node in self.nodes.values():
            if node.rates() not in rates:
                rates.append(node.rates())
        return rates
