"""An index of entries with digests, by which two instances find differences."""

from collections import defaultdict

import xxhash

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import ObjectKind

__all__ = [
    "BUCKETS_PER_GROUP",
    "BUCKET_COUNT",
    "GROUP_COUNT",
    "EntryIndex",
    "hash_entry",
    "hash_name",
]

GROUP_COUNT = 32
BUCKETS_PER_GROUP = 32
BUCKET_COUNT = GROUP_COUNT * BUCKETS_PER_GROUP

Name = tuple[ObjectKind, str]


def hash_name(name: Name) -> int:
    """Return the 64-bit hash of an object's kind and id."""
    return xxhash.xxh3_64_intdigest(f"{name[0].value}\0{name[1]}".encode())


def hash_entry(entry: Entry) -> int:
    """Return the 64-bit hash of an entry, including its number and content."""
    tombstone = int(entry.is_tombstone)
    text = f"{entry.kind.value}\0{entry.id}\0{entry.number}\0{tombstone}\0"
    return xxhash.xxh3_64_intdigest((text + entry.document).encode())


class EntryIndex:
    """Entries by name, with the XOR of their hashes for each bucket and group.

    Not thread-safe; `ConfigState` holds its lock during each call.
    """

    def __init__(self) -> None:
        self._buckets: defaultdict[int, dict[Name, Entry]] = defaultdict(dict)
        self._bucket_digests = [0] * BUCKET_COUNT
        self._group_digests = [0] * GROUP_COUNT
        self.digest = 0

    def copy(self) -> "EntryIndex":
        """Return a copy that later changes do not affect."""
        copied = EntryIndex()
        for bucket, entries in self._buckets.items():
            copied._buckets[bucket] = dict(entries)
        copied._bucket_digests = list(self._bucket_digests)
        copied._group_digests = list(self._group_digests)
        copied.digest = self.digest
        return copied

    def get(self, name: Name) -> Entry | None:
        """Return the entry of an object, or None."""
        return self._buckets.get(_bucket(name), {}).get(name)

    def put(self, entry: Entry) -> None:
        """Add an entry, replacing the previous one of its object."""
        name = (entry.kind, entry.id)
        bucket = _bucket(name)
        previous = self._buckets[bucket].get(name)
        if previous is not None:
            self._toggle(bucket, previous)
        self._buckets[bucket][name] = entry
        self._toggle(bucket, entry)

    def remove(self, name: Name) -> None:
        """Remove the entry of an object, which must exist."""
        bucket = _bucket(name)
        self._toggle(bucket, self._buckets[bucket].pop(name))

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries."""
        return tuple(
            entry for bucket in self._buckets.values() for entry in bucket.values()
        )

    def bucket_entries(self, bucket: int) -> tuple[Entry, ...]:
        """Return the entries of one bucket."""
        return tuple(self._buckets.get(bucket, {}).values())

    def group_digests(self) -> tuple[int, ...]:
        """Return the digest of each group of buckets."""
        return tuple(self._group_digests)

    def bucket_digests(self, group: int) -> tuple[int, ...]:
        """Return the digest of each bucket of a group."""
        start = group * BUCKETS_PER_GROUP
        return tuple(self._bucket_digests[start : start + BUCKETS_PER_GROUP])

    def _toggle(self, bucket: int, entry: Entry) -> None:
        value = hash_entry(entry)
        self._bucket_digests[bucket] ^= value
        self._group_digests[bucket // BUCKETS_PER_GROUP] ^= value
        self.digest ^= value


def _bucket(name: Name) -> int:
    return hash_name(name) % BUCKET_COUNT
