"""The answer to an order, as it is kept for repeats."""

import attrs

__all__ = ["ANSWER_OVERHEAD_BYTES", "HEADER_OVERHEAD_BYTES", "OrderAnswer"]

ANSWER_OVERHEAD_BYTES = 250
"""What an answer is counted with beside its text: its objects."""

HEADER_OVERHEAD_BYTES = 170
"""What each pair of the header is counted with beside its text."""


@attrs.frozen
class OrderAnswer:
    """A whole answer of an endpoint.

    Attributes:
        status: The HTTP status.
        headers: Pairs of name and value.
        body: The whole body.
        request_id: The id of the request that was run.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str

    @property
    def size_bytes(self) -> int:
        """What the answer counts for in memory, in bytes."""
        header = sum(
            HEADER_OVERHEAD_BYTES + len(name) + len(value)
            for name, value in self.headers
        )
        return ANSWER_OVERHEAD_BYTES + len(self.body) + header + len(self.request_id)
