"""The body of a short answer."""

__all__ = ["ShortBody"]

MAX_SHORT_BODY_BYTES = 1_000_000
"""Several times the largest answer to a call about an endpoint's state."""
_ABORT_TRANSFER = -1


class ShortBody:
    """Takes a body up to a size, after which the transfer of libcurl is aborted.

    Args:
        max_bytes: The largest size.

    Attributes:
        is_too_long: Whether the body is longer.
    """

    def __init__(self, max_bytes: int = MAX_SHORT_BODY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()
        self.is_too_long = False

    @property
    def data(self) -> bytes:
        """What has been received."""
        return bytes(self._data)

    def write(self, data: bytes) -> int:
        """Append a part; a `WRITEFUNCTION` of libcurl."""
        if len(self._data) + len(data) > self._max_bytes:
            self.is_too_long = True
            self._data.clear()
            return _ABORT_TRANSFER
        self._data += data
        return len(data)
