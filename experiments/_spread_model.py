"""A fleet of the real classes with a simulated network and platform.

A queue of events advances a `ManualClock`. A pushed change arrives after the
one-way delay between the two instances; other calls return immediately. Byte
counts include the thrift encoding, the frame, and the headers of Ethernet, IP
and TCP.
"""

import random
from collections import Counter, defaultdict
from datetime import timedelta
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from experiments._platform_model import (
    Events,
    ModelPlatform,
    PlatformTask,
    PlatformView,
)
from oriolepaddle.config import (
    ConfigState,
    ConfigSync,
    PlatformReader,
    Rejections,
    StalenessGuard,
)
from oriolepaddle.membership import LoadSummary, Membership, MembershipHandler
from oriolepaddle.peers import PeerIdentity, PeerService
from oriolepaddle.peers.gen_py.configuration.ttypes import PushReply
from oriolepaddle.publication import Instance, InstanceList

__all__ = ["Fleet", "InstanceModel"]

DELAY_IN_DATA_CENTRE_S = 0.0002
DELAY_IN_REGION_S = 0.0015
DELAY_BETWEEN_REGIONS_S = 0.080
FRAME_BYTES = 4
MESSAGE_BEGIN_BYTES = 6
SEGMENT_HEADER_BYTES = 66
TICK_S = 0.1
LOAD_INTERVAL_S = 5.0
ROUTES = 5
DATA_CENTRES_PER_REGION = 3

_FACTORY = TCompactProtocolAcceleratedFactory()


class InstanceModel:
    """An instance with the real membership, state, synchronisation and reader."""

    def __init__(self, fleet: "Fleet", instance: Instance) -> None:
        name, clock = instance.id, fleet.events.clock
        self.name = name
        self.fleet = fleet
        self.listing = instance
        self.state = ConfigState()
        self.platform = PlatformView(fleet.platform)
        rejections = Rejections(clock)
        staleness = StalenessGuard(clock, None)
        caller = ModelCaller(fleet, instance)
        self.membership = Membership(
            clock,
            PeerIdentity(name, 1, instance.data_centre),
            instance,
            caller,
            lambda: (self.state.digest, self.state.highest_number),
            fleet.region_of,
            random.Random(f"membership/{name}"),
        )
        self.sync = ConfigSync(
            clock,
            name,
            self.state,
            caller,
            self.membership,
            rejections,
            staleness,
            random.Random(f"sync/{name}"),
        )
        self.reader = PlatformReader(
            clock,
            self.platform,
            self.sync.platform_target,
            rejections,
            staleness,
            random.Random(f"reader/{name}"),
        )
        self.sync.set_platform_reader(self.reader)
        self.handlers = {
            "membership": MembershipHandler(self.membership),
            "configuration": self.sync.handler,
        }
        self.state.add_listener(self._record_changes)

    def tick(self) -> None:
        """Run the periodic tasks, as the background threads do."""
        self.membership.tick()
        self.sync.tick()
        self.fleet.events.after(TICK_S, self.tick)

    def publish_load(self) -> None:
        """Publish a load summary of each route, as routing does."""
        for route in range(ROUTES):
            self.membership.publish_load(
                LoadSummary(
                    self.listing.data_centre,
                    f"route-{route}",
                    timedelta(milliseconds=250),
                    4,
                )
            )
        self.fleet.events.after(LOAD_INTERVAL_S, self.publish_load)

    def _record_changes(self, changed: tuple) -> None:
        now_s = self.fleet.events.clock.monotonic_s()
        for entry in changed:
            self.fleet.in_force_at_s[entry.number].setdefault(self.name, now_s)
        # The background thread also wakes up on a change.
        self.fleet.events.after(0.0, self.sync.tick)


class Fleet:
    """The instances, their network and the platform.

    Args:
        instances: The number of instances.
        data_centres: The number of data centres.
    """

    def __init__(self, instances: int, data_centres: int) -> None:
        self.events = Events()
        self.platform = ModelPlatform(self.events)
        self.in_force_at_s: dict[int, dict[str, float]] = defaultdict(dict)
        self.bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.bytes_by_method: Counter[str] = Counter()
        generator = random.Random(instances)
        listed = tuple(
            _make_instance(number, number % data_centres) for number in range(instances)
        )
        self.instances = {
            instance.id: InstanceModel(self, instance) for instance in listed
        }
        for instance in self.instances.values():
            instance.membership.apply_list(InstanceList(listed, 1, 0.0))
            self.events.at(generator.uniform(0, TICK_S), instance.tick)
            self.events.at(generator.uniform(0, LOAD_INTERVAL_S), instance.publish_load)
            for reader in instance.reader.readers:
                PlatformTask(self.events, instance.platform, reader)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return f"r{int(data_centre[2:]) // DATA_CENTRES_PER_REGION}"

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two instances in seconds."""
        first = self.instances[one].listing.data_centre
        second = self.instances[other].listing.data_centre
        if first == second:
            return DELAY_IN_DATA_CENTRE_S
        if self.region_of(first) == self.region_of(second):
            return DELAY_IN_REGION_S
        return DELAY_BETWEEN_REGIONS_S

    def count(self, sender: str, receiver: str, name: str, message: Any) -> None:
        """Count a message and its bytes at the sender and the receiver."""
        size = len(serialize(message, _FACTORY)) + len(name)
        size += FRAME_BYTES + MESSAGE_BEGIN_BYTES + SEGMENT_HEADER_BYTES
        self.bytes_by_method[name] += size
        for instance in (sender, receiver):
            self.bytes[instance] += size
            self.messages[instance] += 1

    def reset_counts(self) -> None:
        """Reset all counters to zero."""
        for counter in (self.bytes, self.messages, self.bytes_by_method):
            counter.clear()


class ModelCaller:
    """The simulated `PeerCaller` of one instance."""

    def __init__(self, fleet: Fleet, instance: Instance) -> None:
        self._fleet = fleet
        self._own = instance.id

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Deliver a call; a push arrives after the network delay."""
        fleet, name = self._fleet, f"{service.name}:{method}"
        handle = getattr(fleet.instances[instance].handlers[service.name], method)
        fleet.count(self._own, instance, name, request)
        if method == "push":
            delay_s = fleet.delay_s(self._own, instance)
            fleet.events.after(delay_s, lambda: handle(request))
            reply = PushReply(is_accepted=True)
        else:
            reply = handle(request)
        fleet.count(instance, self._own, name, reply)
        return reply


def _make_instance(number: int, data_centre: int) -> Instance:
    address = f"10.{data_centre}.0.{number % 256}"
    return Instance(
        f"instance-{number}", f"dc{data_centre}", f"{address}:8080", f"{address}:8081"
    )
