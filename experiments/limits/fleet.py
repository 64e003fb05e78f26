"""Instances with real limiters on a fake network and clocks that drift."""

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
    """One instance's `MembershipView`; the fleet sets its list.

    Args:
        identity: The instance.
        network: Tells which peers can be reached.
    """

    def __init__(self, identity: PeerIdentity, network: FakeNetwork) -> None:
        self.identity = identity
        self.network = network
        self.list: InstanceList | None = None

    def published(self) -> InstanceList | None:
        """Return the last list read."""
        return self.list

    def instance(self, instance: str) -> Instance | None:
        """Return a listed instance, or None."""
        listed = self.list.instances if self.list else ()
        return next((item for item in listed if item.id == instance), None)

    def reachable(self) -> frozenset[str]:
        """Return the peers that calls reach."""
        own = self.identity.instance
        return frozenset(
            name
            for name in self.network.handlers
            if name != own and self.network.is_open(own, name)
        )

    def incarnation(self, instance: str) -> int | None:
        """Return None: the limiter learns incarnations itself."""
        return None

    def peer_address(self, instance: str) -> str | None:
        """Return a made-up address of a listed instance."""
        return instance if self.instance(instance) else None


@attrs.define
class FleetInstance:
    """A running instance.

    Attributes:
        clock: Its own clock.
        drift: Its clock's relative error.
        config: Its configuration.
        view: Its view of the fleet.
        limiter: Its limiter.
        has_platform: Whether it can read the platform.
        is_paused: Whether the process is stopped for a while.
        list_lag_s: How old the list is that the platform serves to it.
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
    """A fleet whose time, list and network a test or an experiment moves.

    Args:
        settings: The limiters' settings.
        entries: The configuration that every instance starts with.
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
        """The instances that the platform lists now."""
        return self._lists[-1][1]

    def start(self, name: str, data_centre: str, drift: float = 0.0) -> FleetInstance:
        """Start an instance and list it."""
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
        """Stop an instance at once; it stays listed until `unlist`."""
        del self.instances[name]
        self.network.handlers.pop(name, None)

    def list(self, name: str, data_centre: str) -> None:
        """Add an instance to the platform's list."""
        others = tuple(item for item in self.listed if item.id != name)
        instance = Instance(name, data_centre, name, name)
        self._lists.append((self.now_s, (*others, instance)))

    def unlist(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        left = tuple(item for item in self.listed if item.id != name)
        self._lists.append((self.now_s, left))

    def advance(self, seconds: float) -> None:
        """Let time pass, without any task running."""
        self.now_s += seconds
        for instance in self.instances.values():
            instance.clock.advance(timedelta(seconds=seconds * (1 + instance.drift)))

    def run(self, seconds: float, step_s: float = 0.5) -> None:
        """Let time pass and run the periodic tasks of all that are not paused."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)
            for name in sorted(self.instances):
                self.tick(name)

    def tick(self, name: str) -> None:
        """Read the list, where possible, and run the periodic tasks."""
        instance = self.instances[name]
        if instance.is_paused:
            return
        if instance.has_platform:
            instance.view.list = self._read_list(instance)
        instance.limiter.tick()

    def pause(self, name: str, is_paused: bool = True) -> None:
        """Stop a process for a while, or wake it up; its calls wait unserved."""
        instance = self.instances[name]
        instance.is_paused = is_paused
        if is_paused:
            self.network.handlers.pop(name, None)
        else:
            self.network.handlers[name] = instance.limiter.handler

    def _read_list(self, instance: FleetInstance) -> InstanceList:
        seen_s = self.now_s - instance.list_lag_s
        revision, instances = max(
            (index, listed)
            for index, (since_s, listed) in enumerate(self._lists)
            if since_s <= seen_s
        )
        return InstanceList(instances, revision, instance.clock.monotonic_s())
