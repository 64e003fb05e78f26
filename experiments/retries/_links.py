"""Simulated links between instances, with delays and losses."""

import copy
import random
from concurrent.futures import Executor, Future
from datetime import timedelta

import numpy as np

from experiments.retries._events import EventLoop
from oriolepaddle.errors import PeerTimeoutError
from oriolepaddle.peers import PeerIdentity, PeerService
from oriolepaddle.quarantine import (
    Quarantine,
    QuarantineHandler,
    QuarantineReplicator,
    QuarantineSettings,
)

__all__ = ["LinkModel"]

LOSS_SHARE = 0.02
MIN_DELAY_S = 0.002
MAX_DELAY_S = 0.1
PUSH_DELAY_S = 0.002
TICK_S = 1.0


class _InlineExecutor(Executor):
    """Runs each task synchronously."""

    def submit(self, function: object, *arguments: object) -> Future:
        """Call `function` and return its result as a future."""
        future = Future()
        future.set_result(function(*arguments))
        return future


class _InstanceLinks:
    """The links of one instance; a `PeerCaller` and `MembershipView`."""

    def __init__(self, links: "LinkModel", identity: PeerIdentity) -> None:
        self._links = links
        self.identity = identity

    def reachable(self) -> frozenset[str]:
        """Return all other instances."""
        return frozenset(self._links.handlers) - {self.identity.instance}

    def incarnation(self, instance: str) -> int:
        """Return 1: incarnations do not change in this model."""
        return 1

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: object,
        timeout: timedelta,
    ) -> object:
        """Deliver a call over the links."""
        return self._links.deliver(instance, method, request)


class LinkModel:
    """Delivers reports between the quarantines of a few instances.

    A report arrives after a random delay or is lost. The reply to a comparison
    arrives without delay.

    Args:
        loop: The event loop.
        count: The number of instances.
        rng: The source of randomness for delays and losses.
        seed: The seed of the replicators.

    Attributes:
        quarantines: The quarantine of each instance.
        handlers: The handler of each instance, by name.
    """

    def __init__(
        self, loop: EventLoop, count: int, rng: np.random.Generator, seed: int
    ) -> None:
        self._loop = loop
        self._rng = rng
        self.quarantines: list[Quarantine] = []
        self.handlers: dict[str, QuarantineHandler] = {}
        for number in range(count):
            self._add(PeerIdentity(f"instance-{number}", 1, "dc"), seed + number)

    def deliver(self, instance: str, method: str, request: object) -> object:
        """Deliver a call to `instance`."""
        handler = getattr(self.handlers[instance], method)
        if self._rng.random() < LOSS_SHARE:
            raise PeerTimeoutError("lost")
        if method == "compare":
            return copy.deepcopy(handler(request))
        delay_s = self._rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self._loop.schedule(delay_s, handler, copy.deepcopy(request))
        return None

    def _add(self, identity: PeerIdentity, seed: int) -> None:
        settings = QuarantineSettings()
        quarantine = Quarantine(self._loop.clock, settings, identity)
        instance_links = _InstanceLinks(self, identity)
        replicator = QuarantineReplicator(
            self._loop.clock,
            settings,
            quarantine,
            instance_links,
            instance_links,
            _InlineExecutor(),
            random.Random(seed),
        )
        self.quarantines.append(quarantine)
        self.handlers[identity.instance] = QuarantineHandler(quarantine)
        self._loop.schedule(0.0, self._poll, quarantine, replicator, 0.0)

    def _poll(
        self, quarantine: Quarantine, replicator: QuarantineReplicator, tick_at_s: float
    ) -> None:
        now_s = self._loop.now_s
        if quarantine.changed.is_set() or now_s >= tick_at_s:
            quarantine.changed.clear()
            replicator.tick()
            tick_at_s = now_s + TICK_S
        self._loop.schedule(
            PUSH_DELAY_S * 5, self._poll, quarantine, replicator, tick_at_s
        )
