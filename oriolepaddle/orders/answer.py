"""The stored answer to an order, returned to repeats of the request."""

import attrs

__all__ = ["ANSWER_OVERHEAD_BYTES", "HEADER_OVERHEAD_BYTES", "OrderAnswer"]

ANSWER_OVERHEAD_BYTES = 250
"""Accounted size of an answer's Python objects, without its text."""

HEADER_OVERHEAD_BYTES = 170
"""Accounted size of each header pair's Python objects, without its text."""


@attrs.frozen
class OrderAnswer:
    """A complete answer of an endpoint.

    Attributes:
        status: The HTTP status.
        headers: Pairs of header name and value.
        body: The complete body.
        request_id: The id of the request that the endpoint ran.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str

    @property
    def size_bytes(self) -> int:
        """The accounted memory size of the answer, in bytes."""
        header = sum(
            HEADER_OVERHEAD_BYTES + len(name) + len(value)
            for name, value in self.headers
        )
        return ANSWER_OVERHEAD_BYTES + len(self.body) + header + len(self.request_id)
