"""The ledgers of all organisations, within a common memory limit."""

from collections.abc import Iterator

from oriolepaddle.orders._errors import conflict_error, outcome_unknown_error
from oriolepaddle.orders._ledger import OrderLedger
from oriolepaddle.orders._record import OrderRecord

__all__ = ["OrderStore"]

LOW_WATER_FRACTION = 0.95
"""Fraction of the limit to which an eviction reduces the size."""


class OrderStore:
    """Stores ledgers and evicts from the organisations that use the most memory.

    A flood of orders from one organisation thus shortens the retention of its
    own orders, not of others. Not thread-safe: guarded by the registry's lock.

    Args:
        max_bytes: The limit on the accounted size of all ledgers together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._ledgers: dict[str, OrderLedger] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """The accounted size of all ledgers."""
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
        self, organisation: str, sequence: int, digest: bytes, highest_expired: int
    ) -> OrderRecord | None:
        """Return the record of a number, or None if it was never used.

        Args:
            organisation: The organisation that sends the order.
            sequence: The number's sequence.
            digest: The digest of the request.
            highest_expired: The highest expired sequence number.

        Raises:
            RefusedError: The number was used for another request.
            OrderError: The number may have been used, but its record has expired
                or was evicted.
        """
        ledger = self._ledgers.get(organisation)
        record = None if ledger is None else ledger.get(sequence)
        if record is None:
            # An empty ledger still has its floor.
            floor = (
                highest_expired
                if ledger is None
                else max(highest_expired, ledger.floor)
            )
            if sequence <= floor:
                raise outcome_unknown_error("its number has expired")
            return None
        if record.digest != digest:
            raise conflict_error()
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
        """Remove the record of an order that was not run."""
        ledger = self._ledgers[organisation]
        before = ledger.size_bytes
        ledger.release(record)
        self._resize(ledger.size_bytes - before)

    def finish(
        self, organisation: str, record: OrderRecord, retain_answer: bool
    ) -> None:
        """Record the end of the run, with its answer if `retain_answer`."""
        ledger = self._ledgers[organisation]
        before = ledger.size_bytes
        ledger.set_answer(record, retain_answer)
        self._resize(ledger.size_bytes - before)

    def expire(self, highest_expired: int) -> None:
        """Remove the records up to a sequence, and ledgers that become empty."""
        for organisation, ledger in list(self._ledgers.items()):
            highest_floor = ledger.floor
            before = ledger.size_bytes
            ledger.expire(highest_expired)
            self._size_bytes += ledger.size_bytes - before
            # A floor that eviction raised above `highest_expired` is needed until
            # all sequence numbers up to it have expired.
            if not ledger.count and highest_floor <= highest_expired:
                del self._ledgers[organisation]
                self._size_bytes -= ledger.size_bytes

    def _resize(self, change_bytes: int) -> None:
        self._size_bytes += change_bytes
        if self._size_bytes > self._max_bytes:
            self._evict(int(self._max_bytes * LOW_WATER_FRACTION))

    def _evict(self, target_bytes: int) -> None:
        """Shrink the largest ledgers to a common size so that all fit."""
        ledgers = list(self._ledgers.values())
        cap_bytes = _find_cap([each.size_bytes for each in ledgers], target_bytes)
        for ledger in ledgers:
            if ledger.size_bytes > cap_bytes:
                ledger.shrink(cap_bytes)
        self._size_bytes = sum(each.size_bytes for each in ledgers)


def _find_cap(sizes: list[int], target: int) -> int:
    """Return the cap on each size at which their sum is at most `target`."""
    remaining = target
    for index, size in enumerate(sorted(sizes)):
        larger = len(sizes) - index
        if size * larger > remaining:
            return remaining // larger
        remaining -= size
    return max(sizes, default=0)
