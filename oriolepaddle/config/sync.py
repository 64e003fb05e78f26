"""Replication of the configuration between instances."""

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
from oriolepaddle.config.merge_attribution import (
    PLATFORM,
    AttributingMergeTarget,
    CurrentMergeSource,
)
from oriolepaddle.config.neighbours import Neighbours
from oriolepaddle.config.outbox import PeerSync
from oriolepaddle.config.push import push_entries
from oriolepaddle.config.reconciliation import Reconciliation
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.config.state import ConfigState
from oriolepaddle.errors import PeerError
from oriolepaddle.membership.runner import PeerRunner
from oriolepaddle.peers import PeerCaller

__all__ = ["ConfigSync"]

POLL_INTERVAL = timedelta(milliseconds=100)
# Delay before pushing changes read from the platform, which most peers read themselves
# meanwhile.
PUBLISHED_DELAY_S = 2.0
MAX_OUTER_DELAY_S = 0.1
MIN_DIFFERENCE_S = 2.0
COMPARE_INTERVAL_S = 4.0
OTHER_FLOOR_INTERVAL_S = 15.0
ADOPT_FLOOR_AFTER_S = 30.0
MAX_RETRY_PAUSE_S = 8.0


class ConfigSync:
    """Pushes changes to neighbours and repairs what pushes did not deliver.

    Changes of the state are sent to all neighbours except those that have them: the
    sender and, if it belongs to this data centre, the rest of the mesh. If the digest
    in a neighbour's heartbeats stays different from every recent digest of this
    instance, the two states are compared bucket by bucket. Thread-safe.

    Args:
        clock: Source of the time.
        own_id: This instance's id.
        state: The configuration.
        caller: Calls peers.
        neighbours: The fleet, a `Membership`.
        rejections: Records entries from peers that violate the schema.
        staleness: Notified of answered heartbeats.
        generator: Draws jitter.
        serve_without_catch_up: The operator's setting to serve although neither the
            platform nor any peer could be queried for the configuration.
    """

    def __init__(
        self,
        clock: Clock,
        own_id: str,
        state: ConfigState,
        caller: PeerCaller,
        neighbours: Neighbours,
        rejections: Rejections,
        staleness: StalenessGuard,
        generator: random.Random,
        serve_without_catch_up: bool = False,
    ) -> None:
        self._clock = clock
        self._own_id = own_id
        self._state = state
        self._caller = caller
        self._neighbours = neighbours
        self._rejections = rejections
        self._staleness = staleness
        self._generator = generator
        self._catch_up = CatchUp(neighbours, serve_without_catch_up)
        self._lock = threading.RLock()
        self._peers: dict[str, PeerSync] = {}
        self._platform_progress: PlatformProgress | None = None
        self._current_source = CurrentMergeSource()
        self._history = DigestHistory(clock, state)
        # Reconciliations run one at a time: after the first, a starting instance has
        # little left to fetch from the other peers.
        self._reconciliation_lock = threading.Lock()
        self._last_transfer = 0
        self._counts: Counter[str] = Counter()
        self._runner = PeerRunner(
            "config-sync", clock, self._find_due_peers, self._exchange, POLL_INTERVAL
        )
        self.platform_target = AttributingMergeTarget(
            state, self._current_source, PLATFORM
        )
        self.handler = ConfigurationHandler(
            state,
            Inbox(rejections),
            lambda peer: AttributingMergeTarget(state, self._current_source, peer),
            self.is_caught_up,
            self._discard_received,
        )
        state.add_listener(self._queue_changes)

    def set_platform_reader(self, progress: PlatformProgress) -> None:
        """Set the platform's reader, whose target is `platform_target`."""
        self._platform_progress = progress

    def start(self) -> None:
        """Replicate in the background until `stop`."""
        self._runner.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._runner.stop()

    def tick(self) -> None:
        """Run the exchanges that are due, on the calling thread."""
        self._runner.run_due()

    def is_caught_up(self) -> bool:
        """Return whether this instance may be advertised."""
        with self._lock:
            return self._catch_up.is_done(self._platform_progress, self._peers)

    def counts(self) -> dict[str, int]:
        """Return the number of exchanges of each kind since the start.

        `push` counts pushed entries, `compare` reconciliations, `refused` transfers
        that the peer did not accept, and `failed` exchanges in which a call failed.
        """
        with self._lock:
            return dict(self._counts)

    def _queue_changes(self, changed: tuple[Entry, ...]) -> None:
        self._history.record()
        source = self._current_source.source_id
        mesh = self._neighbours.links().mesh
        due_at_s = self._clock.monotonic_s() + self._draw_delay_s(source, mesh)
        # A sender in the mesh pushes the changes to the rest of the mesh itself.
        informed_peers = {source, *mesh} if source in mesh else {source}
        with self._lock:
            for name in self._neighbours.neighbours():
                peer = self._peer(name)
                if name in informed_peers:
                    peer.outbox.discard(changed)
                elif not peer.outbox.add(changed, due_at_s):
                    peer.needs_comparison = True
        self._runner.wake()

    def _draw_delay_s(self, source: str | None, mesh: tuple[str, ...]) -> float:
        if source == PLATFORM:
            return PUBLISHED_DELAY_S * self._generator.uniform(1, 1.25)
        if source is None or source in mesh:
            return 0.0
        # Several instances of the mesh receive a change from outside at about the same
        # time. With random delays, the first push makes those of the others needless.
        return self._generator.uniform(0, MAX_OUTER_DELAY_S)

    def _discard_received(self, source: str, entries: tuple[Entry, ...]) -> None:
        """Discard queued entries that a peer, or the whole mesh with it, has."""
        mesh = self._neighbours.links().mesh
        informed_peers = mesh if source in mesh else (source,)
        with self._lock:
            for name in informed_peers:
                self._peer(name).outbox.discard(entries)

    def _find_due_peers(self) -> tuple[str, ...]:
        answered_at_s = self._neighbours.last_answer_s()
        if answered_at_s is not None:
            self._staleness.record_contact(answered_at_s)
        self._history.record()
        names = self._neighbours.neighbours()
        with self._lock:
            for name in self._peers.keys() - set(names):
                del self._peers[name]
            return tuple(name for name in names if self._is_due(self._peer(name)))

    def _is_due(self, peer: PeerSync) -> bool:
        now_s = self._clock.monotonic_s()
        self._update_difference(peer, now_s)
        if peer.is_busy or now_s < peer.retry_at_s:
            return False
        return peer.outbox.due_at_s <= now_s or self._needs_comparison(peer)

    def _update_difference(self, peer: PeerSync, now_s: float) -> None:
        digest_report = self._neighbours.config_digest(peer.name)
        if digest_report is None or self._history.is_recent(digest_report[0]):
            peer.differs_since_s = None
        elif peer.differs_since_s is None:
            peer.differs_since_s = now_s

    def _needs_comparison(self, peer: PeerSync) -> bool:
        now_s = self._clock.monotonic_s()
        if now_s < peer.compare_at_s or self._reconciliation_lock.locked():
            return False
        if not peer.attempts or peer.needs_comparison:
            return True
        if not peer.is_compared and not self.is_caught_up():
            return True
        differs_since_s = peer.differs_since_s
        return (
            differs_since_s is not None and now_s - differs_since_s >= MIN_DIFFERENCE_S
        )

    def _exchange(self, name: str) -> None:
        """Push queued entries to a peer and compare with it, if due."""
        with self._lock:
            peer = self._peer(name)
            peer.is_busy = True
        try:
            self._push_outbox(peer)
            if self._needs_comparison(peer):
                self._reconcile(peer)
            peer.failures = 0
        except PeerError:
            self._record_failure(peer)
        finally:
            peer.is_busy = False

    def _push_outbox(self, peer: PeerSync) -> None:
        with self._lock:
            if peer.outbox.due_at_s > self._clock.monotonic_s():
                return
            entries = peer.outbox.pop_all()
            digest_report = self._neighbours.config_digest(peer.name)
        if digest_report is None or not self._history.is_current(digest_report[0]):
            self._push(peer, entries)

    def _push(self, peer: PeerSync, entries: tuple[Entry, ...]) -> None:
        with self._lock:
            self._counts["push"] += len(entries)
            self._last_transfer += 1
            transfer = self._last_transfer
        if not push_entries(self._caller, self._own_id, peer.name, transfer, entries):
            peer.needs_comparison = True
            self._count("refused")

    def _reconcile(self, peer: PeerSync) -> None:
        if not self._reconciliation_lock.acquire(blocking=False):
            return
        try:
            self._run_reconciliation(peer)
        finally:
            peer.attempts += 1
            self._reconciliation_lock.release()

    def _run_reconciliation(self, peer: PeerSync) -> None:
        reconciliation = Reconciliation(
            self._own_id,
            peer.name,
            self._state,
            AttributingMergeTarget(self._state, self._current_source, peer.name),
            self._caller,
            self._rejections,
            lambda: self._may_adopt(peer),
        )
        self._count("compare")
        result = reconciliation.run()
        pause_s = (
            OTHER_FLOOR_INTERVAL_S if result.has_other_floor else COMPARE_INTERVAL_S
        )
        pause_s *= self._generator.uniform(1, 1.5)
        peer.compare_at_s = self._clock.monotonic_s() + pause_s
        peer.is_behind = not result.is_caught_up
        if result.is_whole:
            peer.is_compared = True
            peer.needs_comparison = False
            self._push(peer, result.missing)

    def _may_adopt(self, peer: PeerSync) -> bool:
        """Return whether a floor may be adopted from a peer.

        While the platform answers, its own snapshot is preferred for a time.
        """
        progress = self._platform_progress
        if not self.is_caught_up() or progress is None or progress.has_failed:
            return True
        differs_since_s = peer.differs_since_s
        now_s = self._clock.monotonic_s()
        return (
            differs_since_s is not None
            and now_s - differs_since_s >= ADOPT_FLOOR_AFTER_S
        )

    def _record_failure(self, peer: PeerSync) -> None:
        with self._lock:
            self._counts["failed"] += 1
            peer.failures += 1
            # Entries in flight may or may not have arrived.
            peer.needs_comparison = True
            pause_s = min(MAX_RETRY_PAUSE_S, 2.0 ** min(peer.failures, 5) / 2)
            pause_s *= self._generator.uniform(0.5, 1)
            peer.retry_at_s = self._clock.monotonic_s() + pause_s

    def _count(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1

    def _peer(self, name: str) -> PeerSync:
        if name not in self._peers:
            self._peers[name] = PeerSync(name)
        return self._peers[name]
