"""Conversion of entries, floors and hashes to and from their wire format."""

import json
import struct
from collections.abc import Iterable, Iterator

from oriolepaddle.config.codec import MAX_TICKET_NUMBER, parse_entry
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.errors import TicketError
from oriolepaddle.peers import PeerService
from oriolepaddle.peers.gen_py.configuration import Configuration
from oriolepaddle.peers.gen_py.configuration.ttypes import EntryRecord, FloorRecord

__all__ = [
    "CONFIGURATION_SERVICE",
    "MAX_MESSAGE_BYTES",
    "measure_entry",
    "pack_hashes",
    "read_entry",
    "read_floor",
    "split_entries",
    "unpack_hashes",
    "write_entry",
    "write_floor",
]

CONFIGURATION_SERVICE = PeerService(name="configuration", module=Configuration)
MAX_MESSAGE_BYTES = 256 * 1024
ENTRY_OVERHEAD_BYTES = 32
HASH_BYTES = 8


def write_entry(entry: Entry) -> EntryRecord:
    """Convert an entry to its struct."""
    document = None if entry.is_tombstone else entry.document
    return EntryRecord(entry.kind.value, entry.id, entry.number, document)


def read_entry(record: EntryRecord) -> Entry:
    """Convert a struct to an entry, validated like one of a ticket.

    Raises:
        TicketError: The entry violates the schema.
    """
    if not 1 <= record.number <= MAX_TICKET_NUMBER:
        raise TicketError(f"number must be from 1 to {MAX_TICKET_NUMBER}")
    try:
        value = None if record.document is None else json.loads(record.document)
    except (ValueError, RecursionError) as error:
        raise TicketError(f"document is not JSON: {error}") from error
    document = {"kind": record.kind, "id": record.id, "value": value}
    entry = parse_entry(record.number, document)
    if (record.document is None) != entry.is_tombstone:
        raise TicketError("document must not be the JSON value null")
    return entry


def write_floor(floor: Floor) -> FloorRecord:
    """Convert a floor to its struct, whose digest is a signed 64-bit integer."""
    (digest,) = struct.unpack(">q", struct.pack(">Q", floor.digest))
    return FloorRecord(floor.number, digest)


def read_floor(record: FloorRecord) -> Floor:
    """Convert a struct to a floor."""
    return Floor(record.number, record.digest % 2**64)


def pack_hashes(hashes: Iterable[int]) -> bytes:
    """Pack 64-bit hashes in big-endian order."""
    values = tuple(hashes)
    return struct.pack(f">{len(values)}Q", *values)


def unpack_hashes(packed: bytes) -> tuple[int, ...]:
    """Unpack 64-bit hashes; an incomplete last one is ignored."""
    count = len(packed) // HASH_BYTES
    return struct.unpack(f">{count}Q", packed[: count * HASH_BYTES])


def measure_entry(entry: Entry) -> int:
    """Return an upper bound of an entry's size in a message in bytes."""
    return len(entry.document.encode()) + len(entry.id) + ENTRY_OVERHEAD_BYTES


def split_entries(entries: Iterable[Entry]) -> Iterator[list[Entry]]:
    """Split entries into parts of at most `MAX_MESSAGE_BYTES`.

    A part with a single entry may be larger.
    """
    part: list[Entry] = []
    size = 0
    for entry in entries:
        entry_size = measure_entry(entry)
        if part and size + entry_size > MAX_MESSAGE_BYTES:
            yield part
            part, size = [], 0
        part.append(entry)
        size += entry_size
    if part:
        yield part
