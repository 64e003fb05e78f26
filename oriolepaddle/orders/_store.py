"""The ledgers of all organisations, within one bound in bytes."""

from collections.abc import Iterator

from oriolepaddle.orders._failures import conflict, unknown
from oriolepaddle.orders._ledger import OrderLedger
from oriolepaddle.orders._record import OrderRecord

__all__ = ["OrderStore"]

LOW_WATER = 0.95
"""Fraction of the bound down to which an eviction goes."""


class OrderStore:
    """Keeps ledgers and takes room from the organisation that uses the most.

    A flood of one organisation's orders thus shortens how long its own are
    kept, not those of others. Not thread-safe: the registry's lock guards it.

    Args:
        max_bytes: The bound on all ledgers together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._ledgers: dict[str, OrderLedger] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """What all records count for."""
        return self._size_bytes

    @property
    def count(self) -> int:
        """The number of records."""
        return sum(ledger.count for ledger in self._ledgers.values())

    def __iter__(self) -> Iterator[tuple[str, OrderRecord]]:
        for organisation, ledger in self._ledgers.items():
            for record in ledger.records():
                yield organisation, record

    def lookup(
        self, organisation: str, sequence: int, digest: bytes, horizon: int
    ) -> OrderRecord | None:
        """Return the record of a number, or None if it was never used.

        Args:
            organisation: The organisation that gives the order.
            sequence: The number's sequence.
            digest: The digest of the request.
            horizon: The sequence at and below which all have expired.

        Raises:
            RefusedError: The number was used for another request.
            OrderError: The number may have been used and was forgotten.
        """
        ledger = self._ledgers.get(organisation)
        record = None if ledger is None else ledger.get(sequence)
        if record is None:
            # A ledger that was emptied still has its floor.
            floor = horizon if ledger is None else max(horizon, ledger.floor)
            if sequence <= floor:
                raise unknown("its number has expired")
            return None
        if record.digest != digest:
            raise conflict()
        return record

    def add(self, organisation: str, record: OrderRecord) -> None:
        """Add the record of a number that is used for the first time."""
        ledger = self._ledgers.get(organisation)
        if ledger is None:
            ledger = self._ledgers[organisation] = OrderLedger()
            self._size_bytes += ledger.size_bytes
        ledger.add(record)
        self._resize(record.size_bytes)

    def release(self, organisation: str, record: OrderRecord) -> None:
        """Forget a record whose order was not run."""
        ledger = self._ledgers[organisation]
        before = ledger.size_bytes
        ledger.release(record)
        self._resize(ledger.size_bytes - before)

    def finish(self, organisation: str, record: OrderRecord, keeps: bool) -> None:
        """Take the run's end into the record; keep its answer if `keeps`."""
        ledger = self._ledgers[organisation]
        before = ledger.size_bytes
        ledger.set_answer(record, keeps)
        self._resize(ledger.size_bytes - before)

    def expire(self, horizon: int) -> None:
        """Remove the records up to a sequence, and ledgers without any."""
        for organisation, ledger in list(self._ledgers.items()):
            highest_floor = ledger.floor
            before = ledger.size_bytes
            ledger.expire(horizon)
            self._size_bytes += ledger.size_bytes - before
            # A floor that eviction raised above the horizon must outlive it.
            if not ledger.count and highest_floor <= horizon:
                del self._ledgers[organisation]
                self._size_bytes -= ledger.size_bytes

    def _resize(self, change_bytes: int) -> None:
        self._size_bytes += change_bytes
        if self._size_bytes > self._max_bytes:
            self._make_room(int(self._max_bytes * LOW_WATER))

    def _make_room(self, target_bytes: int) -> None:
        """Shrink the largest ledgers to the one size at which all fit."""
        ledgers = list(self._ledgers.values())
        level_bytes = _level([each.size_bytes for each in ledgers], target_bytes)
        for ledger in ledgers:
            if ledger.size_bytes > level_bytes:
                ledger.shrink(level_bytes)
        self._size_bytes = sum(each.size_bytes for each in ledgers)


def _level(sizes: list[int], target: int) -> int:
    """Return the cap on each size at which their sum is at most `target`."""
    left = target
    for place, size in enumerate(sorted(sizes)):
        larger = len(sizes) - place
        if size * larger > left:
            return left // larger
        left -= size
    return max(sizes, default=0)
