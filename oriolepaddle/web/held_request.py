"""The memory that one request of a client holds."""

from datetime import timedelta

from oriolepaddle.buffers import BufferBudget, HeldKind
from oriolepaddle.errors import ErrorCode, RefusedError

__all__ = ["HeldRequest"]

RETRY_AFTER = timedelta(seconds=1)


class HeldRequest:
    """Counts the header and the body of a request against the process's budget.

    Args:
        budget: The budget.
        client: The client's address.

    Attributes:
        body_bytes: The bytes of the body that are counted.
    """

    def __init__(self, budget: BufferBudget, client: str) -> None:
        self._budget = budget
        self._client = client
        self._header_bytes = 0
        self.body_bytes = 0

    def reserve_header(self, count: int) -> None:
        """Count bytes of the header.

        Raises:
            RefusedError: There is no memory for them.
        """
        self._acquire(count, self._header_bytes, HeldKind.HEADER)
        self._header_bytes += count

    def reserve_body(self, count: int) -> None:
        """Count bytes of the body.

        Raises:
            RefusedError: There is no memory for them.
        """
        self._acquire(count, self.body_bytes, HeldKind.REQUEST_BODY)
        self.body_bytes += count

    def release(self) -> None:
        """Return everything to the budget."""
        self._budget.release(self._header_bytes, HeldKind.HEADER, self._client)
        self._budget.release(self.body_bytes, HeldKind.REQUEST_BODY, self._client)
        self._header_bytes = self.body_bytes = 0

    def _acquire(self, count: int, held: int, kind: HeldKind) -> None:
        if not self._budget.acquire(count, held, kind, self._client):
            raise RefusedError(
                f"no memory is left for the {kind.value} of the request",
                code=ErrorCode.OVERLOADED,
                retry_after=RETRY_AFTER,
            )
