"""Finding and resolving the differences between the configurations of two peers."""

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
BUCKET_OVERHEAD_BYTES = 8


@attrs.frozen
class ReconciliationResult:
    """The result of one reconciliation.

    Attributes:
        is_caught_up: Whether the peer had caught up; if not, nothing was fetched.
        is_whole: Whether every difference was fetched and merged.
        has_other_floor: Whether the peer's floor differs from that of this instance.
        missing: Entries that the peer lacks.
    """

    is_caught_up: bool
    is_whole: bool
    has_other_floor: bool
    missing: tuple[Entry, ...] = ()


class Reconciliation:
    """One comparison with a peer, followed by fetches of the differences.

    This instance's state is copied once at the beginning, so that the retained and the
    fetched entries together are exactly the peer's state. If the peer has a greater
    floor, this determines which objects are deleted.

    Args:
        own_id: This instance's id.
        peer: The peer's id.
        state: This instance's configuration.
        target: Merges the fetched entries.
        caller: Calls the peer.
        rejections: Records entries that violate the schema.
        may_adopt: Returns whether to reconcile now with a peer that has another floor,
            and to adopt that floor if it is greater.
    """

    def __init__(
        self,
        own_id: str,
        peer: str,
        state: ConfigState,
        target: MergeTarget,
        caller: PeerCaller,
        rejections: Rejections,
        may_adopt: Callable[[], bool],
    ) -> None:
        self._own_id = own_id
        self._peer = peer
        self._target = target
        self._caller = caller
        self._rejections = rejections
        self._may_adopt = may_adopt
        self._floor, self._index = state.copy_index()
        self._fetched: list[Entry] = []
        self._absent_hashes: set[int] = set()
        self._fetched_hashes: dict[int, dict[int, int]] = {}
        self._has_rejected = False

    def run(self) -> ReconciliationResult:
        """Compare, fetch the differences and merge them.

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
        request = CompareRequest(self._own_id, write_floor(self._floor), digests)
        return self._call("compare", request, CALL_TIMEOUT)

    def _fetch(self, buckets: list[int], floor: Floor) -> bool:
        """Fetch the buckets; return False if the peer's floor changed meanwhile."""
        remaining = list(buckets)
        while remaining:
            request = FetchRequest(
                self._own_id, list(self._describe_buckets(remaining))
            )
            reply = self._call("fetch", request, FETCH_TIMEOUT)
            if read_floor(reply.floor) != floor or not reply.buckets:
                return False
            for bucket in reply.buckets:
                self._collect(bucket)
            complete = {bucket.bucket for bucket in reply.buckets if bucket.is_whole}
            remaining = [bucket for bucket in remaining if bucket not in complete]
        return True

    def _describe_buckets(self, buckets: list[int]) -> Iterator[KnownBucket]:
        size = 0
        for bucket in buckets:
            hashes = {
                hash_name((entry.kind, entry.id)): hash_entry(entry)
                for entry in self._index.bucket_entries(bucket)
            }
            hashes |= self._fetched_hashes.get(bucket, {})
            known = pack_hashes(value for pair in hashes.items() for value in pair)
            size += len(known) + BUCKET_OVERHEAD_BYTES
            if size > MAX_MESSAGE_BYTES:
                return
            yield KnownBucket(bucket, known)

    def _collect(self, bucket: FetchedBucket) -> None:
        entries = read_valid_entries(bucket.entries, self._peer, self._rejections)
        self._fetched.extend(entries)
        self._absent_hashes.update(unpack_hashes(bucket.absent))
        # If the rest of the bucket is requested, these entries are not sent again.
        hashes = self._fetched_hashes.setdefault(bucket.bucket, {})
        for entry in entries:
            hashes[hash_name((entry.kind, entry.id))] = hash_entry(entry)
        self._has_rejected |= len(entries) < len(bucket.entries)

    def _merge(self, floor: Floor) -> None:
        # An incomplete state must not be adopted as the complete state of a floor.
        if floor <= self._floor or self._has_rejected:
            self._target.merge(self._fetched)
            return
        state = {
            (entry.kind, entry.id): entry
            for entry in self._index.entries()
            if hash_name((entry.kind, entry.id)) not in self._absent_hashes
        }
        state |= {(entry.kind, entry.id): entry for entry in self._fetched}
        self._target.adopt(floor, state.values())

    def _find_missing(self, buckets: list[int], floor: Floor) -> Iterator[Entry]:
        for bucket in buckets:
            for entry in self._index.bucket_entries(bucket):
                name = hash_name((entry.kind, entry.id))
                if name in self._absent_hashes and entry.number > floor.number:
                    yield entry
        for entry in self._fetched:
            own_entry = self._index.get((entry.kind, entry.id))
            if own_entry is not None and own_entry.number > entry.number:
                yield own_entry
            elif own_entry is None and entry.number <= self._floor.number:
                # The floor deleted the object here. Any later ticket has a greater
                # number, so a tombstone with the floor's number is equivalent.
                if not entry.is_tombstone:
                    yield Entry(entry.kind, entry.id, self._floor.number, None)

    def _call(self, method: str, request: Any, timeout: timedelta) -> Any:
        return self._caller.call(
            self._peer, CONFIGURATION_SERVICE, method, request, timeout
        )


def _iterate_differing(index: EntryIndex, reply: CompareReply) -> Iterator[int]:
    for group in sorted(reply.bucket_digests):
        peer_digests = unpack_hashes(reply.bucket_digests[group])
        for position, own in enumerate(index.bucket_digests(group)):
            if position >= len(peer_digests) or peer_digests[position] != own:
                yield group * BUCKETS_PER_GROUP + position
