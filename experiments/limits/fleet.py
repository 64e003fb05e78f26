"""Instances with real limiters, a fake network and drifting clocks."""

from datetime import timedelta

import attrs

from experiments.limits.network import FakeCaller, FakeNetwork
from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.limits import LimitSettings, SharedTokenLimiter
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

__all__ = ["Fleet", "FleetInstance", "FleetView"]


class FleetView:
    """The `MembershipView` of one instance; the fleet updates its list.

    Args:
        identity: The identity of the instance.
        network: The network, which determines reachable peers.
    """

    def __init__(self, identity: PeerIdentity, network: FakeNetwork) -> None:
        self.identity = identity
        self.network = network
        self.list: InstanceList | None = None

    def published(self) -> InstanceList | None:
        """Return the latest list read, or None."""
        return self.list

    def instance(self, instance: str) -> Instance | None:
        """Return a listed instance, or None."""
        listed = self.list.instances if self.list else ()
        return next((item for item in listed if item.id == instance), None)

    def reachable(self) -> frozenset[str]:
        """Return the peers that can be called."""
        own = self.identity.instance
        return frozenset(
            name
            for name in self.network.handlers
            if name != own and self.network.is_open(own, name)
        )

    def incarnation(self, instance: str) -> int | None:
        """Return None; the limiter learns incarnations from its peers."""
        return None

    def peer_address(self, instance: str) -> str | None:
        """Return the id of a listed instance as its address, or None."""
        return instance if self.instance(instance) else None


@attrs.define
class FleetInstance:
    """A running instance.

    Attributes:
        clock: The clock of the instance.
        drift: The relative rate error of the clock.
        config: The configuration.
        view: The view of the fleet.
        limiter: The limiter.
        has_platform: Whether the instance can read from the platform.
        is_paused: Whether the process is suspended.
        list_lag_s: Age of the instance list that the platform returns, in seconds.
    """

    clock: ManualClock
    drift: float
    config: ConfigState
    view: FleetView
    limiter: SharedTokenLimiter
    has_platform: bool = True
    is_paused: bool = False
    list_lag_s: float = 0.0


class Fleet:
    """A fleet whose time, instance list and network a test or experiment controls.

    Args:
        settings: The limiters' settings.
        entries: The initial configuration of every instance.
    """

    def __init__(self, settings: LimitSettings, entries: tuple[Entry, ...]) -> None:
        self.settings = settings
        self.entries = entries
        self.network = FakeNetwork()
        self.instances: dict[str, FleetInstance] = {}
        self.now_s = 0.0
        self._incarnation = 0
        self._lists: list[tuple[float, tuple[Instance, ...]]] = [(-1e9, ())]

    @property
    def listed(self) -> tuple[Instance, ...]:
        """The instances currently on the platform's list."""
        return self._lists[-1][1]

    def start(self, name: str, data_centre: str, drift: float = 0.0) -> FleetInstance:
        """Start an instance and add it to the platform's list."""
        self._incarnation += 1
        identity = PeerIdentity(name, self._incarnation, data_centre)
        config = ConfigState()
        config.merge(self.entries)
        clock = ManualClock()
        clock.advance(timedelta(seconds=1000 * (1 + drift)))
        view = FleetView(identity, self.network)
        caller = FakeCaller(self.network, name)
        limiter = SharedTokenLimiter(clock, caller, view, config, self.settings)
        instance = FleetInstance(clock, drift, config, view, limiter)
        self.instances[name] = instance
        self.network.handlers[name] = limiter.handler
        self.list(name, data_centre)
        return instance

    def stop(self, name: str) -> None:
        """Stop an instance immediately; it stays listed until `unlist`."""
        del self.instances[name]
        self.network.handlers.pop(name, None)

    def list(self, name: str, data_centre: str) -> None:
        """Add an instance to the platform's list."""
        others = tuple(item for item in self.listed if item.id != name)
        instance = Instance(name, data_centre, name, name)
        self._lists.append((self.now_s, (*others, instance)))

    def unlist(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        others = tuple(item for item in self.listed if item.id != name)
        self._lists.append((self.now_s, others))

    def advance(self, seconds: float) -> None:
        """Advance all clocks without running tasks."""
        self.now_s += seconds
        for instance in self.instances.values():
            instance.clock.advance(timedelta(seconds=seconds * (1 + instance.drift)))

    def run(self, seconds: float, step_s: float = 0.5) -> None:
        """Advance all clocks and run the periodic tasks of the running instances."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)
            for name in sorted(self.instances):
                self.tick(name)

    def tick(self, name: str) -> None:
        """Read the instance list, if possible, and run the periodic tasks."""
        instance = self.instances[name]
        if instance.is_paused:
            return
        if instance.has_platform:
            instance.view.list = self._read_list(instance)
        instance.limiter.tick()

    def pause(self, name: str, is_paused: bool = True) -> None:
        """Suspend or resume a process; a suspended one can't be called."""
        instance = self.instances[name]
        instance.is_paused = is_paused
        if is_paused:
            self.network.handlers.pop(name, None)
        else:
            self.network.handlers[name] = instance.limiter.handler

    def _read_list(self, instance: FleetInstance) -> InstanceList:
        listed_at_s = self.now_s - instance.list_lag_s
        revision, instances = max(
            (index, listed)
            for index, (since_s, listed) in enumerate(self._lists)
            if since_s <= listed_at_s
        )
        return InstanceList(instances, revision, instance.clock.monotonic_s())
