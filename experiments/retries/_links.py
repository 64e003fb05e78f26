"""The links between the model's instances, with delays and losses."""

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
PUSH_AFTER_S = 0.002
TICK_S = 1.0


class _InlineExecutor(Executor):
    """Runs each task at once."""

    def submit(self, function: object, *arguments: object) -> Future:
        """Call `function` and return its result as a future."""
        future = Future()
        future.set_result(function(*arguments))
        return future


class _Node:
    """An instance's end of its links: a `PeerCaller` and `MembershipView`."""

    def __init__(self, links: "LinkModel", identity: PeerIdentity) -> None:
        self._links = links
        self.identity = identity

    def reachable(self) -> frozenset[str]:
        """Return all other instances."""
        return frozenset(self._links.handlers) - {self.identity.instance}

    def incarnation(self, instance: str) -> int:
        """Return the incarnation, which never changes here."""
        return 1

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: object,
        timeout: timedelta,
    ) -> object:
        """Carry a call over the links."""
        return self._links.carry(instance, method, request)


class LinkModel:
    """Carries reports between the quarantines of a few instances.

    A report is handled after a random delay, and is lost now and then. The
    reply of a comparison comes at once.

    Args:
        loop: The events.
        count: How many instances there are.
        rng: Draws delays and losses.
        seed: Seeds the replicators.

    Attributes:
        quarantines: The quarantine of each instance.
        handlers: The handler of each instance by its name.
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

    def carry(self, instance: str, method: str, request: object) -> object:
        """Carry a call to `instance`."""
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
        node = _Node(self, identity)
        replicator = QuarantineReplicator(
            self._loop.clock,
            settings,
            quarantine,
            node,
            node,
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
            PUSH_AFTER_S * 5, self._poll, quarantine, replicator, tick_at_s
        )
