"""A fleet of real instances on a simulated network and platform."""

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

# Time in which a change must reach every instance if there are no faults.
PROPAGATION_S = 8
STEP = timedelta(milliseconds=250)
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
INSTANCE_NAMES = [
    f"{data_centre}-{number}" for data_centre in REGIONS for number in range(2)
]


class Platform:
    """A simulated platform; `page_size` limits the values of one reading."""

    def __init__(self):
        self.values = []
        self.is_down = False
        self.page_size = 1000
        self.read_count = 0
        self.min_revision = 0

    def publish(self, key, text):
        self.values = [value for value in self.values if value.key != key]
        self.values.append(ServiceValue(key, text, self.revision + 1))

    @property
    def revision(self):
        last = self.values[-1].revision if self.values else 0
        return max(last, self.min_revision)

    def read(self, prefix, after_revision=0):
        self.read_count += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        values = [
            value
            for value in self.values
            if value.key.startswith(prefix) and value.revision > after_revision
        ]
        if len(values) > self.page_size:
            page_values = tuple(values[: self.page_size])
            return ServiceReading(
                page_values, page_values[-1].revision, is_complete=False
            )
        return ServiceReading(tuple(values), self.revision)

    def watch(self, prefix, after_revision, timeout):
        return self.read(prefix, after_revision)


def make_ticket(number, *changes):
    """Make a ticket from (organisation, rate) pairs; None makes a tombstone."""
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
    """Make the only shard of a snapshot from `name=(number, rate)`."""
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


class FleetInstance:
    """An instance's membership and configuration, without the gateway."""

    def __init__(self, fleet, name, incarnation, platform, known_instances, **settings):
        random_seed = f"{name}/{incarnation}"
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
            random.Random(random_seed),
            known_instances,
        )
        self.sync = ConfigSync(
            fleet.clock,
            name,
            self.state,
            fleet.network.caller(name),
            self.membership,
            self.rejections,
            self.staleness,
            random.Random(random_seed),
            **settings,
        )
        self.reader = PlatformReader(
            fleet.clock,
            platform,
            self.sync.platform_target,
            self.rejections,
            self.staleness,
            random.Random(random_seed),
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
    def __init__(self, names=INSTANCE_NAMES):
        self.clock = ManualClock()
        self.network = Network()
        self.platform = Platform()
        self.instances = {}
        for name in names:
            self.add(name)

    def add(self, name, incarnation=1, is_listed=True, platform=None, **settings):
        known_instances = tuple(make_instance(other) for other in self.instances)
        instance = FleetInstance(
            self,
            name,
            incarnation,
            platform or self.platform,
            known_instances,
            **settings,
        )
        self.instances[name] = instance
        self.network.down.discard(name)
        if is_listed:
            self.publish_list()
        return instance

    def publish_list(self):
        instances = tuple(make_instance(name) for name in self.instances)
        now_s = self.clock.monotonic_s()
        for instance in self.instances.values():
            previous_list = instance.membership.published()
            revision = previous_list.revision + 1 if previous_list else 1
            instance.membership.apply_list(InstanceList(instances, revision, now_s))

    def remove(self, name):
        self.network.down.add(name)
        del self.instances[name]

    def run(self, seconds):
        for _ in range(int(seconds / STEP.total_seconds())):
            for instance in list(self.instances.values()):
                instance.tick()
            self.clock.advance(STEP)

    def merge_ticket(self, name, text):
        self.instances[name].state.merge(parse_ticket(text).entries)

    def distinct_rates(self):
        """Return the distinct rates of the instances: one item if all agree."""
        rates = []
        for instance in self.instances.values():
            if instance.rates() not in rates:
                rates.append(instance.rates())
        return rates
