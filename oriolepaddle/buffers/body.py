"""A body that is held until it is complete."""

from oriolepaddle.buffers.budget import BufferBudget, HeldKind

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """The bytes of a body so far, counted against the process's budget.

    Args:
        budget: The budget.
        holder: The address of the client for which it is held; empty if there is none.

    Attributes:
        data: The bytes.
    """

    def __init__(self, budget: BufferBudget, holder: str = "") -> None:
        self._budget = budget
        self._holder = holder
        self._held_bytes = 0
        self.data = bytearray()

    def __len__(self) -> int:
        return len(self.data)

    def append(self, data: bytes) -> bool:
        """Append bytes, unless the budget is used up; return whether they were."""
        if not self.hold(len(self.data) + len(data)):
            return False
        self.data += data
        return True

    def hold(self, count: int) -> bool:
        """Count a number of bytes in place of those counted so far.

        Returns:
            Whether the budget granted them; if not, nothing changes.
        """
        added = count - self._held_bytes
        if added > 0 and not self._budget.acquire(
            added, self._held_bytes, HeldKind.RESPONSE_BODY, self._holder
        ):
            return False
        if added < 0:
            self._budget.release(-added, HeldKind.RESPONSE_BODY, self._holder)
        self._held_bytes = count
        return True

    def discard(self) -> None:
        """Drop the bytes and return them to the budget."""
        self.data = bytearray()
        self.hold(0)
