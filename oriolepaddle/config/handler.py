"""The thrift handler of the configuration service."""

from collections.abc import Callable

from oriolepaddle.config.digest import BUCKET_COUNT, hash_entry, hash_name
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.inbox import Inbox
from oriolepaddle.config.merge_target import MergeTarget
from oriolepaddle.config.state import ConfigState
from oriolepaddle.config.wire import (
    MAX_MESSAGE_BYTES,
    measure_entry,
    pack_hashes,
    unpack_hashes,
    write_entry,
    write_floor,
)
from oriolepaddle.peers.gen_py.configuration.ttypes import (
    CompareReply,
    CompareRequest,
    FetchedBucket,
    FetchReply,
    FetchRequest,
    KnownBucket,
    PushReply,
    PushRequest,
)

__all__ = ["ConfigurationHandler"]


class ConfigurationHandler:
    """Handles the requests of peers; makes no calls of its own.

    Args:
        state: This instance's configuration.
        inbox: Collects pushed transfers.
        make_target: Returns the merge target for the entries of a peer.
        is_caught_up: Returns whether this instance has caught up, so that peers may
            compare their state with its own.
        on_received: Called with a peer's id and the entries that it pushed.
    """

    def __init__(
        self,
        state: ConfigState,
        inbox: Inbox,
        make_target: Callable[[str], MergeTarget],
        is_caught_up: Callable[[], bool],
        on_received: Callable[[str, tuple[Entry, ...]], None],
    ) -> None:
        self._state = state
        self._inbox = inbox
        self._make_target = make_target
        self._is_caught_up = is_caught_up
        self._on_received = on_received

    def push(self, request: PushRequest) -> PushReply:
        """Add a part of a transfer; merge all its entries with the last part."""
        entries = self._inbox.add(request)
        if entries is None:
            return PushReply(is_accepted=False)
        if entries:
            self._make_target(request.sender).merge(entries)
            self._on_received(request.sender, entries)
        return PushReply(is_accepted=True)

    def compare(self, request: CompareRequest) -> CompareReply:
        """Return the bucket digests of the groups that differ."""
        floor, index = self._state.copy_index()
        is_caught_up = self._is_caught_up()
        digests = {}
        if is_caught_up:
            peer_digests = unpack_hashes(request.group_digests)
            for group, own in enumerate(index.group_digests()):
                if group >= len(peer_digests) or peer_digests[group] != own:
                    digests[group] = pack_hashes(index.bucket_digests(group))
        return CompareReply(write_floor(floor), is_caught_up, digests)

    def fetch(self, request: FetchRequest) -> FetchReply:
        """Return entries that the caller lacks or has in another state.

        The reply ends with the bucket that fills the message.
        """
        floor, index = self._state.copy_index()
        buckets: list[FetchedBucket] = []
        size = 0
        for known in request.buckets:
            if not 0 <= known.bucket < BUCKET_COUNT:
                continue
            entries = index.bucket_entries(known.bucket)
            fetched, bucket_size = _fetch_bucket(
                known, entries, MAX_MESSAGE_BYTES - size
            )
            buckets.append(fetched)
            size += bucket_size
            if not fetched.is_whole:
                break
        return FetchReply(write_floor(floor), buckets)


def _fetch_bucket(
    known: KnownBucket, entries: tuple[Entry, ...], available_bytes: int
) -> tuple[FetchedBucket, int]:
    hashes = unpack_hashes(known.known)
    peer_hashes = dict(zip(hashes[::2], hashes[1::2], strict=False))
    own_entries = {hash_name((entry.kind, entry.id)): entry for entry in entries}
    missing = [
        entry
        for name, entry in own_entries.items()
        if peer_hashes.get(name) != hash_entry(entry)
    ]
    absent = pack_hashes(name for name in peer_hashes if name not in own_entries)
    size = len(absent)
    records = []
    for entry in missing:
        size += measure_entry(entry)
        # The first entry is always sent, so that each call makes progress.
        if records and size > available_bytes:
            break
        records.append(write_entry(entry))
    is_whole = len(records) == len(missing)
    return FetchedBucket(known.bucket, records, absent, is_whole), size
