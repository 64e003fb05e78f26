"""The used order numbers of one organisation."""

from oriolepaddle.orders._record import OrderRecord, OrderState
from oriolepaddle.orders.limits import LEDGER_BYTES

__all__ = ["OrderLedger"]


class OrderLedger:
    """Records by sequence, and the floor at and below which none is trusted.

    A missing record means "unused" only above the floor. Removing a record
    always raises the floor to it, so that a removed order is never run again.
    Not thread-safe: the registry's lock guards it.
    """

    def __init__(self) -> None:
        self._records: dict[int, OrderRecord] = {}
        self.floor = -1
        self.size_bytes = LEDGER_BYTES
        self._answer_bytes = 0

    @property
    def count(self) -> int:
        """The number of records."""
        return len(self._records)

    def get(self, sequence: int) -> OrderRecord | None:
        """Return the record of a number, or None."""
        return self._records.get(sequence)

    def records(self) -> tuple[OrderRecord, ...]:
        """Return all records, oldest number first."""
        return tuple(self._records[key] for key in sorted(self._records))

    def add(self, record: OrderRecord) -> None:
        """Add the record of a number that is used for the first time."""
        self._records[record.sequence] = record
        self.size_bytes += record.size_bytes

    def release(self, record: OrderRecord) -> None:
        """Forget a record whose order was not run, so that it may be."""
        if self._records.pop(record.sequence, None) is not None:
            self.size_bytes -= record.size_bytes

    def set_answer(self, record: OrderRecord, keeps: bool) -> None:
        """Take the run's end into the record; keep its answer if `keeps`."""
        run, record.run = record.run, None
        record.state = OrderState.ANSWERED if run.answer else OrderState.UNKNOWN
        if keeps and record.sequence in self._records:
            record.answer = run.answer
            self._count_answer(record.answer.size_bytes)

    def expire(self, horizon: int) -> None:
        """Remove the records up to a sequence and raise the floor to it."""
        self.floor = max(self.floor, horizon)
        for sequence in [key for key in self._records if key <= self.floor]:
            self._remove(sequence)

    def shrink(self, target_bytes: int) -> None:
        """Make room, oldest first, down to a size in bytes.

        Answers go first, for a record alone keeps an order from running again;
        but they keep half the room, for most repeats come soon.
        """
        for record in self.records():
            if self.size_bytes <= target_bytes:
                return
            if self._answer_bytes > target_bytes // 2:
                self._drop_answer(record)
        for record in self.records():
            if self.size_bytes <= target_bytes:
                return
            if self._remove(record.sequence):
                self.floor = max(self.floor, record.sequence)

    def _count_answer(self, change_bytes: int) -> None:
        self.size_bytes += change_bytes
        self._answer_bytes += change_bytes

    def _drop_answer(self, record: OrderRecord) -> None:
        if record.answer is not None:
            self._count_answer(-record.answer.size_bytes)
            record.answer = None

    def _remove(self, sequence: int) -> bool:
        record = self._records[sequence]
        if record.state is OrderState.RUNNING:
            return False
        self._drop_answer(record)
        del self._records[sequence]
        self.size_bytes -= record.size_bytes
        return True
