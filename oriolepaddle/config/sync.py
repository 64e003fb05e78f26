"""The spread of configuration between instances."""

import random
import threading
from collections import Counter
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config.catch_up import CatchUp, PlatformProgress
from oriolepaddle.config.digest_history import DigestHistory
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.handler import ConfigurationHandler
from oriolepaddle.config.inbox import Inbox
from oriolepaddle.config.neighbours import Neighbours
from oriolepaddle.config.outbox import PeerSync
from oriolepaddle.config.push import push_entries
from oriolepaddle.config.reconciliation import Reconciliation
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.sourced_state import (
    PLATFORM,
    SourcedState,
    SourceOfThread,
)
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.config.state import ConfigState
from oriolepaddle.errors import PeerError
from oriolepaddle.membership.runner import PeerRunner
from oriolepaddle.peers import PeerCaller

__all__ = ["ConfigSync"]

LOOK_INTERVAL = timedelta(milliseconds=100)
# What the platform published reaches most peers by their own watch meanwhile.
PUBLISHED_DELAY_S = 2.0
OUTER_DELAY_S = 0.1
DIFFERENCE_LIFE_S = 2.0
COMPARE_INTERVAL_S = 4.0
FLOOR_INTERVAL_S = 15.0
FLOOR_PATIENCE_S = 30.0
MAX_RETRY_S = 8.0


class ConfigSync:
    """Pushes changes to neighbours at once and repairs what was lost.

    Changes of the state go to all neighbours but those that have them: the
    sender and, if it belongs to this data centre, the rest of the mesh. A
    neighbour whose digest, told by its heartbeats, stays unlike every late
    digest of this instance is compared with bucket by bucket. Thread-safe.

    Args:
        clock: The time.
        own: This instance's id.
        state: The configuration.
        caller: Calls peers.
        neighbours: The fleet, a `Membership`.
        rejections: Keeps what peers sent against the schema.
        staleness: Told of answered heartbeats.
        generator: Draws jitter.
        serve_without_catch_up: The operator's setting to serve although
            nobody could be asked for the configuration.
    """

    def __init__(
        self,
        clock: Clock,
        own: str,
        state: ConfigState,
        caller: PeerCaller,
        neighbours: Neighbours,
        rejections: Rejections,
        staleness: StalenessGuard,
        generator: random.Random,
        serve_without_catch_up: bool = False,
    ) -> None:
        self._clock = clock
        self._own = own
        self._state = state
        self._caller = caller
        self._neighbours = neighbours
        self._rejections = rejections
        self._staleness = staleness
        self._generator = generator
        self._catch_up = CatchUp(neighbours, serve_without_catch_up)
        self._lock = threading.RLock()
        self._peers: dict[str, PeerSync] = {}
        self._progress: PlatformProgress | None = None
        self._source = SourceOfThread()
        self._history = DigestHistory(clock, state)
        # One reconciliation at a time: after the first, a starting instance
        # has little left to fetch from the others.
        self._reconciling = threading.Lock()
        self._transfer = 0
        self._counts: Counter[str] = Counter()
        self._runner = PeerRunner(
            "config-sync", clock, self._due_peers, self._exchange, LOOK_INTERVAL
        )
        self.platform_target = SourcedState(state, self._source, PLATFORM)
        self.handler = ConfigurationHandler(
            state,
            Inbox(rejections),
            lambda peer: SourcedState(state, self._source, peer),
            self.is_caught_up,
            self._note_received,
        )
        state.add_listener(self._note_changes)

    def set_platform_reader(self, progress: PlatformProgress) -> None:
        """Set the platform's reader, whose target is `platform_target`."""
        self._progress = progress

    def start(self) -> None:
        """Spread in the background until `stop`."""
        self._runner.start()

    def stop(self) -> None:
        """End the threads."""
        self._runner.stop()

    def tick(self) -> None:
        """Run the exchanges that are due, on the calling thread."""
        self._runner.run_due()

    def is_caught_up(self) -> bool:
        """Return whether this instance may be advertised."""
        with self._lock:
            return self._catch_up.is_done(self._progress, self._peers)

    def counts(self) -> dict[str, int]:
        """Return how often each kind of exchange took place since the start.

        `push` counts pushed entries, `compare` reconciliations, `refused`
        transfers of which a part was lost, and `failed` calls to peers.
        """
        with self._lock:
            return dict(self._counts)

    def _note_changes(self, changed: tuple[Entry, ...]) -> None:
        self._history.note()
        source = self._source.name
        mesh = self._neighbours.links().mesh
        due_at_s = self._clock.monotonic_s() + self._draw_delay_s(source, mesh)
        # Whoever of the mesh sent it tells the rest of the mesh too.
        informed = {source, *mesh} if source in mesh else {source}
        with self._lock:
            for name in self._neighbours.neighbours():
                peer = self._peer(name)
                if name in informed:
                    peer.outbox.discard(changed)
                elif not peer.outbox.add(changed, due_at_s):
                    peer.needs_comparison = True
        self._runner.wake()

    def _draw_delay_s(self, source: str | None, mesh: tuple[str, ...]) -> float:
        if source == PLATFORM:
            return PUBLISHED_DELAY_S * self._generator.uniform(1, 1.25)
        if source is None or source in mesh:
            return 0.0
        # Several of the mesh hear it from outside at about the same time; the
        # first to push spares the others theirs.
        return self._generator.uniform(0, OUTER_DELAY_S)

    def _note_received(self, source: str, entries: tuple[Entry, ...]) -> None:
        """Keep back what a peer, and with it perhaps the mesh, holds."""
        mesh = self._neighbours.links().mesh
        informed = mesh if source in mesh else (source,)
        with self._lock:
            for name in informed:
                self._peer(name).outbox.discard(entries)

    def _due_peers(self) -> tuple[str, ...]:
        answered_at_s = self._neighbours.last_answer_s()
        if answered_at_s is not None:
            self._staleness.record_contact(answered_at_s)
        self._history.note()
        names = self._neighbours.neighbours()
        with self._lock:
            for name in self._peers.keys() - set(names):
                del self._peers[name]
            return tuple(name for name in names if self._is_due(self._peer(name)))

    def _is_due(self, peer: PeerSync) -> bool:
        now_s = self._clock.monotonic_s()
        self._note_digest(peer, now_s)
        if peer.is_busy or now_s < peer.retry_at_s:
            return False
        return peer.outbox.due_at_s <= now_s or self._needs_comparison(peer)

    def _note_digest(self, peer: PeerSync, now_s: float) -> None:
        told = self._neighbours.config_digest(peer.name)
        if told is None or self._history.is_recent(told[0]):
            peer.differs_since_s = None
        elif peer.differs_since_s is None:
            peer.differs_since_s = now_s

    def _needs_comparison(self, peer: PeerSync) -> bool:
        now_s = self._clock.monotonic_s()
        if now_s < peer.compare_at_s or self._reconciling.locked():
            return False
        if not peer.tries or peer.needs_comparison:
            return True
        if not peer.is_compared and not self.is_caught_up():
            return True
        since_s = peer.differs_since_s
        return since_s is not None and now_s - since_s >= DIFFERENCE_LIFE_S

    def _exchange(self, name: str) -> None:
        """Push what waits for a peer and compare with it, if due."""
        with self._lock:
            peer = self._peer(name)
            peer.is_busy = True
        try:
            self._push_outbox(peer)
            if self._needs_comparison(peer):
                self._reconcile(peer)
            peer.failures = 0
        except PeerError:
            self._note_failure(peer)
        finally:
            peer.is_busy = False

    def _push_outbox(self, peer: PeerSync) -> None:
        with self._lock:
            if peer.outbox.due_at_s > self._clock.monotonic_s():
                return
            entries = peer.outbox.take()
            told = self._neighbours.config_digest(peer.name)
        if told is None or not self._history.is_current(told[0]):
            self._push(peer, entries)

    def _push(self, peer: PeerSync, entries: tuple[Entry, ...]) -> None:
        with self._lock:
            self._counts["push"] += len(entries)
            self._transfer += 1
            transfer = self._transfer
        if not push_entries(self._caller, self._own, peer.name, transfer, entries):
            peer.needs_comparison = True
            self._count("refused")

    def _reconcile(self, peer: PeerSync) -> None:
        if not self._reconciling.acquire(blocking=False):
            return
        try:
            self._run_reconciliation(peer)
        finally:
            peer.tries += 1
            self._reconciling.release()

    def _run_reconciliation(self, peer: PeerSync) -> None:
        reconciliation = Reconciliation(
            self._own,
            peer.name,
            self._state,
            SourcedState(self._state, self._source, peer.name),
            self._caller,
            self._rejections,
            lambda: self._may_adopt(peer),
        )
        self._count("compare")
        result = reconciliation.run()
        pause_s = FLOOR_INTERVAL_S if result.has_other_floor else COMPARE_INTERVAL_S
        pause_s *= self._generator.uniform(1, 1.5)
        peer.compare_at_s = self._clock.monotonic_s() + pause_s
        peer.is_behind = not result.is_caught_up
        if result.is_whole:
            peer.is_compared = True
            peer.needs_comparison = False
            self._push(peer, result.missing)

    def _may_adopt(self, peer: PeerSync) -> bool:
        """Return whether a floor may be taken from a peer, not the platform."""
        progress = self._progress
        if not self.is_caught_up() or progress is None or progress.has_failed:
            return True
        since_s = peer.differs_since_s
        now_s = self._clock.monotonic_s()
        return since_s is not None and now_s - since_s >= FLOOR_PATIENCE_S

    def _note_failure(self, peer: PeerSync) -> None:
        with self._lock:
            self._counts["failed"] += 1
            peer.failures += 1
            # What was on its way may or may not have arrived.
            peer.needs_comparison = True
            pause_s = min(MAX_RETRY_S, 2.0 ** min(peer.failures, 5) / 2)
            pause_s *= self._generator.uniform(0.5, 1)
            peer.retry_at_s = self._clock.monotonic_s() + pause_s

    def _count(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1

    def _peer(self, name: str) -> PeerSync:
        if name not in self._peers:
            self._peers[name] = PeerSync(name)
        return self._peers[name]
