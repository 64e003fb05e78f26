"""Replication of suspects, crashes and claims to peers."""

import random
import threading
from concurrent.futures import Executor

import attrs
from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PeerError
from oriolepaddle.membership import MembershipView
from oriolepaddle.peers import PeerCaller
from oriolepaddle.peers.gen_py.quarantine.ttypes import CompareRequest
from oriolepaddle.quarantine.handler import QUARANTINE_SERVICE
from oriolepaddle.quarantine.quarantine import Quarantine
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["QuarantineReplicator"]


@attrs.define
class _Peer:
    incarnation: int | None = None
    sent_version: int = 0
    is_busy: bool = False
    next_attempt_s: float = 0.0


class QuarantineReplicator:
    """Pushes changes to each peer and repairs lost reports by comparing digests.

    A peer forwards changes that are new to it, so reports get to all instances
    even if the links are not a full mesh.

    Args:
        clock: The source of time.
        settings: The intervals.
        quarantine: This instance's quarantine.
        caller: Calls peers.
        view: The reachable peers.
        executor: Runs one task for each report or comparison.
        rng: Picks the peer and the time of comparisons.
    """

    def __init__(
        self,
        clock: Clock,
        settings: QuarantineSettings,
        quarantine: Quarantine,
        caller: PeerCaller,
        view: MembershipView,
        executor: Executor,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._quarantine = quarantine
        self._caller = caller
        self._view = view
        self._executor = executor
        self._rng = rng
        self._lock = threading.Lock()
        self._peers: dict[str, _Peer] = {}
        self._next_repair_s = clock.monotonic_s()

    def run(self, stop: threading.Event) -> None:
        """Tick at each change, and at least once per interval, until `stop` is set."""
        while not stop.is_set():
            self._clock.wait(self._quarantine.changed, self._settings.tick_interval)
            self._quarantine.changed.clear()
            self.tick()

    def tick(self) -> None:
        """Start a task for each peer that lacks changes."""
        self._quarantine.renew_claims()
        version = self._quarantine.version
        reachable = sorted(self._view.reachable())
        with self._lock:
            self._peers = {name: self._peers.get(name) or _Peer() for name in reachable}
            outdated = [name for name in reachable if self._needs_report(name, version)]
            for name in outdated:
                self._peers[name].is_busy = True
        for name in outdated:
            self._executor.submit(self._push, name, self._peers[name], version)
        self._repair(reachable)

    def _needs_report(self, name: str, version: int) -> bool:
        peer = self._peers[name]
        incarnation = self._view.incarnation(name)
        if peer.incarnation != incarnation:
            # A restarted peer has lost its state, so it is sent everything again.
            peer.incarnation = incarnation
            peer.sent_version = 0
        if peer.is_busy or peer.sent_version >= version:
            return False
        return self._clock.monotonic_s() >= peer.next_attempt_s

    def _push(self, name: str, peer: _Peer, version: int) -> None:
        incarnation = peer.incarnation
        try:
            report = self._quarantine.export(peer.sent_version)
            if report.entries or report.claims:
                self._call(name, "report", report)
        except PeerError as error:
            logger.debug("quarantine report to {} failed: {}", name, error)
            pause_s = self._settings.failure_pause.total_seconds()
            peer.next_attempt_s = self._clock.monotonic_s() + pause_s
        else:
            if peer.incarnation == incarnation:
                peer.sent_version = version
        finally:
            peer.is_busy = False
        if self._quarantine.version > peer.sent_version == version:
            self._quarantine.changed.set()

    def _repair(self, reachable: list[str]) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_repair_s or not reachable:
            return
        interval_s = self._settings.repair_interval.total_seconds()
        self._next_repair_s = now_s + interval_s * self._rng.uniform(0.5, 1.5)
        self._executor.submit(self._compare, self._rng.choice(reachable))

    def _compare(self, name: str) -> None:
        request = CompareRequest(digest=self._quarantine.digest())
        try:
            reply = self._call(name, "compare", request)
            if reply.is_equal:
                return
            self._quarantine.merge(reply.report)
            self._call(name, "report", self._quarantine.export())
        except PeerError as error:
            logger.debug("quarantine repair with {} failed: {}", name, error)

    def _call(self, name: str, method: str, request: object) -> object:
        timeout = self._settings.call_timeout
        return self._caller.call(name, QUARANTINE_SERVICE, method, request, timeout)
