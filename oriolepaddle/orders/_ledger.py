"""The used order numbers of one organisation."""

from oriolepaddle.orders._record import OrderRecord, OrderState
from oriolepaddle.orders.limits import LEDGER_BYTES

__all__ = ["OrderLedger"]


class OrderLedger:
    """The records of one organisation by sequence, and their floor.

    A number without a record is unused only if its sequence is above the floor.
    Removing the record of a run always raises the floor to its sequence, so that
    the order never runs again. Not thread-safe: guarded by the registry's lock.
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
        """Remove the record of an order that was not run, so that it can run."""
        if self._records.pop(record.sequence, None) is not None:
            self.size_bytes -= record.size_bytes

    def set_answer(self, record: OrderRecord, retain_answer: bool) -> None:
        """Record the end of the run, with its answer if `retain_answer`."""
        run, record.run = record.run, None
        record.state = OrderState.ANSWERED if run.answer else OrderState.UNKNOWN
        if retain_answer and record.sequence in self._records:
            record.answer = run.answer
            self._count_answer(record.answer.size_bytes)

    def expire(self, highest_expired: int) -> None:
        """Remove the records up to a sequence and raise the floor to it."""
        self.floor = max(self.floor, highest_expired)
        for sequence in [key for key in self._records if key <= self.floor]:
            self._remove(sequence)

    def shrink(self, target_bytes: int) -> None:
        """Evict down to a size in bytes, oldest first.

        Answers are evicted before records, as a record alone prevents a second
        run. Half of the space is reserved for answers, as most repeats arrive
        soon after the first request.
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
