"""A model of the network and the platform around the real classes.

Time is a `ManualClock` that a queue of events moves. A pushed change arrives
after the one-way delay between the two instances; the other calls return at
once. Bytes are those of the thrift encoding, the frame, and the headers of
Ethernet, IP and TCP.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import (
    ConfigState,
    ConfigSync,
    PlatformReader,
    Rejections,
    StalenessGuard,
)
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.membership import LoadSummary, Membership, MembershipHandler
from oriolepaddle.peers import PeerIdentity, PeerService
from oriolepaddle.peers.gen_py.configuration.ttypes import PushReply
from oriolepaddle.platform import (
    Instance,
    InstanceList,
    ServiceReading,
    ServiceValue,
)

__all__ = ["Events", "Fleet", "ModelPlatform", "Node", "PlatformTask", "PlatformView"]

DELAY_INSIDE_S = 0.0002
DELAY_IN_REGION_S = 0.0015
DELAY_BETWEEN_REGIONS_S = 0.080
FRAME_BYTES = 4
MESSAGE_BEGIN_BYTES = 6
SEGMENT_HEADER_BYTES = 66
TICK_S = 0.1
LOAD_INTERVAL_S = 5.0
ROUTES = 5
DATA_CENTRES_PER_REGION = 3
WATCH_TIMEOUT_S = 30.0
PLATFORM_DELAY_S = 0.005

_FACTORY = TCompactProtocolAcceleratedFactory()


class Events:
    """Runs callbacks in the order of their times and moves the clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` at a time."""
        heapq.heappush(self._queue, (time_s, next(self._order), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` after a delay."""
        self.at(self.clock.monotonic_s() + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, callback = heapq.heappop(self._queue)
            self._move(time_s)
            callback()
        self._move(end_s)

    def _move(self, time_s: float) -> None:
        passed_s = max(0.0, time_s - self.clock.monotonic_s())
        self.clock.advance(timedelta(seconds=passed_s))


class ModelPlatform:
    """The configuration service; a waiting watch is woken by `publish`."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self._values: list[ServiceValue] = []
        self._waiting: list[tuple[str, Callable[[], None]]] = []
        self.is_down = False
        self.calls: Counter[int] = Counter()

    def publish(self, key: str, text: str) -> None:
        """Publish a value and wake the watches."""
        self._values.append(ServiceValue(key, text, len(self._values) + 1))
        waiting, self._waiting = self._waiting, []
        for prefix, wake in waiting:
            if key.startswith(prefix):
                self._events.after(PLATFORM_DELAY_S, wake)
            else:
                self._waiting.append((prefix, wake))

    def has_news(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return at once."""
        return any(v.key.startswith(prefix) for v in self._values[revision:])

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` with the next publication below a prefix."""
        self._waiting.append((prefix, wake))

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values written after a revision."""
        self.calls[int(self._events.clock.monotonic_s())] += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        news = self._values[after_revision:]
        values = tuple(v for v in news if v.key.startswith(prefix))
        return ServiceReading(values, len(self._values))

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Return the values written after a revision."""
        return self.read(prefix, after_revision)


class PlatformView:
    """The platform as one instance reaches it."""

    def __init__(self, platform: ModelPlatform) -> None:
        self._platform = platform
        self.is_cut = False

    @property
    def is_down(self) -> bool:
        """Whether the instance gets no answer."""
        return self.is_cut or self._platform.is_down

    def has_news(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return at once."""
        return self._platform.has_news(prefix, revision)

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` with the next publication below a prefix."""
        self._platform.wait(prefix, wake)

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values written after a revision."""
        if self.is_cut:
            raise PlatformUnavailableError("cut off")
        return self._platform.read(prefix, after_revision)

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Return the values written after a revision."""
        return self.read(prefix, after_revision)


class PlatformTask:
    """Drives one `PrefixReader` as its thread would: a call, a pause, a call."""

    def __init__(self, events: Events, platform: PlatformView, reader: Any) -> None:
        self._events = events
        self._platform = platform
        self._reader = reader
        self._wakes = 0
        events.at(reader.due_at_s, self._begin)

    def _begin(self) -> None:
        reader, platform = self._reader, self._platform
        must_wait = reader.is_complete and not platform.is_down
        if must_wait and not platform.has_news(reader.prefix, reader.revision):
            self._wakes += 1
            number = self._wakes
            platform.wait(reader.prefix, lambda: self._finish(number))
            self._events.after(WATCH_TIMEOUT_S, lambda: self._finish(number))
            return
        self._step()

    def _finish(self, number: int) -> None:
        if number == self._wakes:
            self._wakes += 1
            self._step()

    def _step(self) -> None:
        self._reader.step(timedelta())
        self._events.at(self._reader.due_at_s, self._begin)


class Node:
    """One instance: the real membership, state, spread and reader."""

    def __init__(self, fleet: "Fleet", instance: Instance) -> None:
        name, clock = instance.id, fleet.events.clock
        self.name = name
        self.fleet = fleet
        self.instance = instance
        self.state = ConfigState()
        self.platform = PlatformView(fleet.platform)
        rejections = Rejections(clock)
        staleness = StalenessGuard(clock, None)
        caller = NodeCaller(fleet, instance)
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
            self.sync.published,
            rejections,
            staleness,
            random.Random(f"reader/{name}"),
        )
        self.sync.follow(self.reader)
        self.handlers = {
            "membership": MembershipHandler(self.membership),
            "configuration": self.sync.handler,
        }
        self.state.add_listener(self._note_changes)

    def tick(self) -> None:
        """Look for due work, as the background threads do."""
        self.membership.tick()
        self.sync.tick()
        self.fleet.events.after(TICK_S, self.tick)

    def publish_load(self) -> None:
        """Publish the load of each route, as routing does."""
        for route in range(ROUTES):
            self.membership.publish_load(
                LoadSummary(
                    self.instance.data_centre,
                    f"route-{route}",
                    timedelta(milliseconds=250),
                    4,
                )
            )
        self.fleet.events.after(LOAD_INTERVAL_S, self.publish_load)

    def _note_changes(self, changed: tuple) -> None:
        now_s = self.fleet.events.clock.monotonic_s()
        for entry in changed:
            self.fleet.in_force[entry.number].setdefault(self.name, now_s)
        # The runner wakes at a change.
        self.fleet.events.after(0.0, self.sync.tick)


class Fleet:
    """Instances, their network and the platform.

    Args:
        instances: How many.
        data_centres: Over how many data centres.
    """

    def __init__(self, instances: int, data_centres: int) -> None:
        self.events = Events()
        self.platform = ModelPlatform(self.events)
        self.in_force: dict[int, dict[str, float]] = defaultdict(dict)
        self.bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.bytes_by_method: Counter[str] = Counter()
        generator = random.Random(instances)
        listed = tuple(
            _make_instance(number, number % data_centres) for number in range(instances)
        )
        self.nodes = {instance.id: Node(self, instance) for instance in listed}
        for node in self.nodes.values():
            node.membership.apply_list(InstanceList(listed, 1, 0.0))
            self.events.at(generator.uniform(0, TICK_S), node.tick)
            self.events.at(generator.uniform(0, LOAD_INTERVAL_S), node.publish_load)
            for reader in node.reader.readers:
                PlatformTask(self.events, node.platform, reader)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return f"r{int(data_centre[2:]) // DATA_CENTRES_PER_REGION}"

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two instances in seconds."""
        first = self.nodes[one].instance.data_centre
        second = self.nodes[other].instance.data_centre
        if first == second:
            return DELAY_INSIDE_S
        if self.region_of(first) == self.region_of(second):
            return DELAY_IN_REGION_S
        return DELAY_BETWEEN_REGIONS_S

    def count(self, sender: str, receiver: str, name: str, message: Any) -> None:
        """Count a message at both ends."""
        size = len(serialize(message, _FACTORY)) + len(name)
        size += FRAME_BYTES + MESSAGE_BEGIN_BYTES + SEGMENT_HEADER_BYTES
        self.bytes_by_method[name] += size
        for end in (sender, receiver):
            self.bytes[end] += size
            self.messages[end] += 1

    def reset_counts(self) -> None:
        """Begin to count anew."""
        for counter in (self.bytes, self.messages, self.bytes_by_method):
            counter.clear()


class NodeCaller:
    """The peer calls of one instance; a `PeerCaller`."""

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
        """Deliver a call; a push arrives after the delay."""
        fleet, name = self._fleet, f"{service.name}:{method}"
        handle = getattr(fleet.nodes[instance].handlers[service.name], method)
        fleet.count(self._own, instance, name, request)
        if method == "push":
            delay_s = fleet.delay_s(self._own, instance)
            fleet.events.after(delay_s, lambda: handle(request))
            reply = PushReply(is_accepted=True)
        else:
            reply = handle(request)
        fleet.count(instance, self._own, name, reply)
        return reply


def _make_instance(number: int, place: int) -> Instance:
    address = f"10.{place}.0.{number % 256}"
    return Instance(
        f"instance-{number}", f"dc{place}", f"{address}:8080", f"{address}:8081"
    )
