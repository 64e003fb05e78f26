"""Complete configuration snapshots, which the platform publishes in shards."""

import json
from functools import reduce

import attrs

from oriolepaddle.config.codec import MAX_TICKET_BYTES, parse_entry
from oriolepaddle.config.digest import hash_entry
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.errors import TicketError

__all__ = ["MAX_SHARDS", "Shard", "Snapshot", "SnapshotAssembler", "parse_shard"]

MAX_SHARDS = 1024

_MEMBERS = {"floor", "publication", "shard", "shards", "entries"}


@attrs.frozen
class Shard:
    """One part of a snapshot.

    Attributes:
        floor: The snapshot includes every ticket up to this number.
        publication: A name that the publisher gives to all shards of one snapshot, so
            that shards of different snapshots are never mixed.
        index: The shard's position, from 0.
        count: The number of shards.
        entries: The shard's live objects, each with its ticket number.
    """

    floor: int
    publication: str
    index: int
    count: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Snapshot:
    """A complete snapshot.

    Attributes:
        floor: The snapshot's floor.
        entries: The entry of every object that was live at the floor.
    """

    floor: Floor
    entries: tuple[Entry, ...]


def parse_shard(text: str | bytes) -> Shard:
    """Parse and validate one shard.

    Raises:
        TicketError: The shard violates the schema and is rejected as a whole.
    """
    if len(text) > MAX_TICKET_BYTES:
        raise TicketError(f"shard is larger than {MAX_TICKET_BYTES} bytes")
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise TicketError(f"shard is not JSON: {error}") from error
    if not isinstance(document, dict) or set(document) != _MEMBERS:
        raise TicketError(f"a shard must have exactly the members {sorted(_MEMBERS)}")
    floor = _parse_integer(document, "floor", 1, 2**53 - 1)
    count = _parse_integer(document, "shards", 1, MAX_SHARDS)
    index = _parse_integer(document, "shard", 0, count - 1)
    if not isinstance(document["publication"], str):
        raise TicketError("publication must be a string")
    if not isinstance(document["entries"], list):
        raise TicketError("entries must be a list")
    entries = tuple(_parse_shard_entry(floor, item) for item in document["entries"])
    return Shard(floor, document["publication"], index, count, entries)


class SnapshotAssembler:
    """Collects shards until all shards of one publication are present."""

    def __init__(self) -> None:
        self._shards: dict[int, Shard] = {}

    def add(self, shard: Shard) -> Snapshot | None:
        """Add a shard; return the snapshot that it completes, or None."""
        self._shards[shard.index] = shard
        parts = [
            part
            for part in self._shards.values()
            if (part.floor, part.publication, part.count)
            == (shard.floor, shard.publication, shard.count)
        ]
        if len(parts) < shard.count:
            return None
        self._shards.clear()
        return _join(shard.floor, parts)


def _join(floor: int, parts: list[Shard]) -> Snapshot:
    entries = tuple(entry for part in parts for entry in part.entries)
    names = {(entry.kind, entry.id) for entry in entries}
    if len(names) != len(entries):
        raise TicketError("a snapshot must contain each object only once")
    digest = reduce(lambda total, entry: total ^ hash_entry(entry), entries, 0)
    return Snapshot(Floor(floor, digest), entries)


def _parse_integer(document: dict, name: str, low: int, high: int) -> int:
    value = document[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise TicketError(f"{name} must be an integer")
    if not low <= value <= high:
        raise TicketError(f"{name} must be from {low} to {high}")
    return value


def _parse_shard_entry(floor: int, item: object) -> Entry:
    if not isinstance(item, dict) or "number" not in item:
        raise TicketError("an entry of a shard must be an object with a number")
    number = _parse_integer(item, "number", 1, floor)
    fields = {name: value for name, value in item.items() if name != "number"}
    entry = parse_entry(number, fields)
    if entry.is_tombstone:
        raise TicketError("a snapshot must not contain deleted objects")
    return entry
