"""Reassembly of transfers that peers send in parts."""

import threading

import attrs

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.wire import measure_entry, read_entry
from oriolepaddle.errors import TicketError
from oriolepaddle.peers.gen_py.configuration.ttypes import EntryRecord, PushRequest

__all__ = ["Inbox", "read_valid_entries"]

MAX_TRANSFER_BYTES = 16 * 1024 * 1024
MAX_TRANSFERS = 64


@attrs.define
class _Transfer:
    number: int
    next_part: int = 0
    size_bytes: int = 0
    entries: list[Entry] = attrs.field(factory=list)


class Inbox:
    """Buffers the parts of each peer's transfer until the last one arrives.

    Entries of one ticket may come in several parts. They are returned together, so
    that a ticket never takes effect in part. Thread-safe.

    Args:
        rejections: Records the entries that violate the schema.
    """

    def __init__(self, rejections: Rejections) -> None:
        self._rejections = rejections
        self._lock = threading.Lock()
        self._transfers: dict[str, _Transfer] = {}

    def add(self, request: PushRequest) -> tuple[Entry, ...] | None:
        """Add a part.

        Returns:
            All entries of the transfer if this is its last part; an empty tuple if
            more parts follow; None if a part was lost or the transfer is too large.
        """
        entries = read_valid_entries(request.entries, request.sender, self._rejections)
        with self._lock:
            transfer = self._find_transfer(request)
            if transfer is None or not self._fits(transfer, entries):
                self._transfers.pop(request.sender, None)
                return None
            transfer.next_part += 1
            transfer.entries.extend(entries)
            if not request.is_last:
                return ()
            del self._transfers[request.sender]
            return tuple(transfer.entries)

    def _find_transfer(self, request: PushRequest) -> _Transfer | None:
        transfer = self._transfers.get(request.sender)
        if request.part == 0:
            transfer = _Transfer(request.transfer)
            if len(self._transfers) >= MAX_TRANSFERS:
                self._transfers.pop(next(iter(self._transfers)))
            self._transfers[request.sender] = transfer
        if transfer is None or transfer.number != request.transfer:
            return None
        return transfer if transfer.next_part == request.part else None

    def _fits(self, transfer: _Transfer, entries: tuple[Entry, ...]) -> bool:
        transfer.size_bytes += sum(measure_entry(entry) for entry in entries)
        return transfer.size_bytes <= MAX_TRANSFER_BYTES


def read_valid_entries(
    records: list[EntryRecord], source: str, rejections: Rejections
) -> tuple[Entry, ...]:
    """Read entries; if one is invalid, skip all entries with its ticket number.

    Args:
        records: The entries as sent.
        source: The peer that sent them.
        rejections: Records the invalid entries.
    """
    entries = []
    rejected: set[int] = set()
    for record in records:
        try:
            entries.append(read_entry(record))
        except TicketError as error:
            rejected.add(record.number)
            rejections.add(f"peer {source}", "entry_invalid", error.message)
    return tuple(entry for entry in entries if entry.number not in rejected)
