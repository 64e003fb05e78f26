"""The answer to an order, as it is kept for repeats."""

import attrs

__all__ = ["OrderAnswer"]


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
        """The length of the body, the header and the id."""
        header = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + header + len(self.request_id)
