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
    """Answers peers; calls none.

    Args:
        state: This instance's configuration.
        inbox: Collects pushed transfers.
        target_of: Returns where the entries of a peer are merged.
        is_caught_up: Whether this instance's state is worth comparing with.
        note_received: Told of the entries that a peer pushed.
    """

    def __init__(
        self,
        state: ConfigState,
        inbox: Inbox,
        target_of: Callable[[str], MergeTarget],
        is_caught_up: Callable[[], bool],
        note_received: Callable[[str, tuple[Entry, ...]], None],
    ) -> None:
        self._state = state
        self._inbox = inbox
        self._target_of = target_of
        self._is_caught_up = is_caught_up
        self._note_received = note_received

    def push(self, request: PushRequest) -> PushReply:
        """Take a part of a transfer; merge all with its last part."""
        entries = self._inbox.add(request)
        if entries is None:
            return PushReply(is_accepted=False)
        if entries:
            self._target_of(request.sender).merge(entries)
            self._note_received(request.sender, entries)
        return PushReply(is_accepted=True)

    def compare(self, request: CompareRequest) -> CompareReply:
        """Tell the bucket digests of the groups that differ."""
        floor, index = self._state.copy_index()
        is_caught_up = self._is_caught_up()
        digests = {}
        if is_caught_up:
            theirs = unpack_hashes(request.group_digests)
            for group, own in enumerate(index.group_digests()):
                if group >= len(theirs) or theirs[group] != own:
                    digests[group] = pack_hashes(index.bucket_digests(group))
        return CompareReply(write_floor(floor), is_caught_up, digests)

    def fetch(self, request: FetchRequest) -> FetchReply:
        """Send what the caller does not hold alike, as much as fits."""
        floor, index = self._state.copy_index()
        buckets: list[FetchedBucket] = []
        size = 0
        for known in request.buckets:
            if not 0 <= known.bucket < BUCKET_COUNT:
                continue
            entries = index.bucket_entries(known.bucket)
            fetched, bucket_size = _answer(known, entries, MAX_MESSAGE_BYTES - size)
            buckets.append(fetched)
            size += bucket_size
            if not fetched.is_whole:
                break
        return FetchReply(write_floor(floor), buckets)


def _answer(
    known: KnownBucket, entries: tuple[Entry, ...], room_bytes: int
) -> tuple[FetchedBucket, int]:
    hashes = unpack_hashes(known.known)
    theirs = dict(zip(hashes[::2], hashes[1::2], strict=False))
    own = {hash_name((entry.kind, entry.id)): entry for entry in entries}
    missing = [
        entry for name, entry in own.items() if theirs.get(name) != hash_entry(entry)
    ]
    absent = pack_hashes(name for name in theirs if name not in own)
    size = len(absent)
    records = []
    for entry in missing:
        size += measure_entry(entry)
        # One entry always goes, so that each call gets on.
        if records and size > room_bytes:
            break
        records.append(write_entry(entry))
    is_whole = len(records) == len(missing)
    return FetchedBucket(known.bucket, records, absent, is_whole), size
