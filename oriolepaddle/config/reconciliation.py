"""Finding and settling the differences with one peer, straight down."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

import attrs

from oriolepaddle.config.digest import (
    BUCKETS_PER_GROUP,
    EntryIndex,
    hash_entry,
    hash_name,
)
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.inbox import read_valid_entries
from oriolepaddle.config.merge_target import MergeTarget
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.state import ConfigState
from oriolepaddle.config.wire import (
    CONFIGURATION_SERVICE,
    MAX_MESSAGE_BYTES,
    pack_hashes,
    read_floor,
    unpack_hashes,
    write_floor,
)
from oriolepaddle.peers import PeerCaller
from oriolepaddle.peers.gen_py.configuration.ttypes import (
    CompareReply,
    CompareRequest,
    FetchedBucket,
    FetchRequest,
    KnownBucket,
)

__all__ = ["Reconciliation", "ReconciliationResult"]

CALL_TIMEOUT = timedelta(seconds=2)
FETCH_TIMEOUT = timedelta(seconds=5)
KNOWN_OVERHEAD_BYTES = 8


@attrs.frozen
class ReconciliationResult:
    """What came of one reconciliation.

    Attributes:
        is_caught_up: Whether the peer had caught up; if not, nothing was done.
        is_whole: Whether every difference was fetched and merged.
        has_other_floor: Whether the peer stood on another floor.
        missing: Entries that the peer lacks.
    """

    is_caught_up: bool
    is_whole: bool
    has_other_floor: bool
    missing: tuple[Entry, ...] = ()


class Reconciliation:
    """One comparison with a peer and the fetches that follow from it.

    The own state is copied once at the beginning, so that what is kept and
    what is fetched together make up the peer's state exactly; on a greater
    floor of the peer this decides which objects are deleted.

    Args:
        own: This instance's id.
        peer: The peer.
        state: This instance's configuration.
        target: Takes what was fetched.
        caller: Calls the peer.
        rejections: Keeps entries that broke the schema.
        may_adopt: Whether a greater floor of the peer is taken over now.
    """

    def __init__(
        self,
        own: str,
        peer: str,
        state: ConfigState,
        target: MergeTarget,
        caller: PeerCaller,
        rejections: Rejections,
        may_adopt: Callable[[], bool],
    ) -> None:
        self._own = own
        self._peer = peer
        self._target = target
        self._caller = caller
        self._rejections = rejections
        self._may_adopt = may_adopt
        self._floor, self._index = state.copy_index()
        self._fetched: list[Entry] = []
        self._absent: set[int] = set()
        self._fetched_hashes: dict[int, dict[int, int]] = {}
        self._has_rejected = False

    def run(self) -> ReconciliationResult:
        """Compare, fetch and merge.

        Raises:
            PeerError: A call failed; nothing was merged.
        """
        reply = self._compare()
        floor = read_floor(reply.floor)
        has_other_floor = floor != self._floor
        is_postponed = has_other_floor and not self._may_adopt()
        if not reply.is_caught_up or is_postponed:
            return ReconciliationResult(reply.is_caught_up, False, has_other_floor)
        differing = list(_iterate_differing(self._index, reply))
        if not self._fetch(differing, floor):
            return ReconciliationResult(True, False, has_other_floor)
        self._merge(floor)
        missing = tuple(self._find_missing(differing, floor))
        return ReconciliationResult(
            True, not self._has_rejected, has_other_floor, missing
        )

    def _compare(self) -> CompareReply:
        digests = pack_hashes(self._index.group_digests())
        request = CompareRequest(self._own, write_floor(self._floor), digests)
        return self._call("compare", request, CALL_TIMEOUT)

    def _fetch(self, buckets: list[int], floor: Floor) -> bool:
        """Fetch the buckets; return False if the peer's floor moved."""
        left = list(buckets)
        while left:
            request = FetchRequest(self._own, list(self._describe(left)))
            reply = self._call("fetch", request, FETCH_TIMEOUT)
            if read_floor(reply.floor) != floor or not reply.buckets:
                return False
            for bucket in reply.buckets:
                self._take(bucket)
            whole = {bucket.bucket for bucket in reply.buckets if bucket.is_whole}
            left = [bucket for bucket in left if bucket not in whole]
        return True

    def _describe(self, buckets: list[int]) -> Iterator[KnownBucket]:
        size = 0
        for bucket in buckets:
            hashes = {
                hash_name((entry.kind, entry.id)): hash_entry(entry)
                for entry in self._index.bucket_entries(bucket)
            }
            hashes |= self._fetched_hashes.get(bucket, {})
            known = pack_hashes(value for pair in hashes.items() for value in pair)
            size += len(known) + KNOWN_OVERHEAD_BYTES
            if size > MAX_MESSAGE_BYTES:
                return
            yield KnownBucket(bucket, known)

    def _take(self, bucket: FetchedBucket) -> None:
        entries = read_valid_entries(bucket.entries, self._peer, self._rejections)
        self._fetched.extend(entries)
        self._absent.update(unpack_hashes(bucket.absent))
        # In case the bucket is asked for again, what came is not sent twice.
        hashes = self._fetched_hashes.setdefault(bucket.bucket, {})
        for entry in entries:
            hashes[hash_name((entry.kind, entry.id))] = hash_entry(entry)
        self._has_rejected |= len(entries) < len(bucket.entries)

    def _merge(self, floor: Floor) -> None:
        # A state with a hole must not count as the whole of a floor.
        if floor <= self._floor or self._has_rejected:
            self._target.merge(self._fetched)
            return
        state = {
            (entry.kind, entry.id): entry
            for entry in self._index.entries()
            if hash_name((entry.kind, entry.id)) not in self._absent
        }
        state |= {(entry.kind, entry.id): entry for entry in self._fetched}
        self._target.adopt(floor, state.values())

    def _find_missing(self, buckets: list[int], floor: Floor) -> Iterator[Entry]:
        for bucket in buckets:
            for entry in self._index.bucket_entries(bucket):
                name = hash_name((entry.kind, entry.id))
                if name in self._absent and entry.number > floor.number:
                    yield entry
        for entry in self._fetched:
            held = self._index.get((entry.kind, entry.id))
            if held is not None and held.number > entry.number:
                yield held
            elif held is None and entry.number <= self._floor.number:
                # The floor deleted it here; any later ticket has a greater
                # number, so a tombstone at the floor says the same.
                if not entry.is_tombstone:
                    yield Entry(entry.kind, entry.id, self._floor.number, None)

    def _call(self, method: str, request: Any, timeout: timedelta) -> Any:
        return self._caller.call(
            self._peer, CONFIGURATION_SERVICE, method, request, timeout
        )


def _iterate_differing(index: EntryIndex, reply: CompareReply) -> Iterator[int]:
    for group in sorted(reply.bucket_digests):
        theirs = unpack_hashes(reply.bucket_digests[group])
        for place, own in enumerate(index.bucket_digests(group)):
            if place >= len(theirs) or theirs[place] != own:
                yield group * BUCKETS_PER_GROUP + place
