"""What a server allows each connection."""

from datetime import timedelta

import attrs

__all__ = ["ServerLimits"]


@attrs.frozen
class ServerLimits:
    """Bounds that keep slow or idle callers from holding every thread.

    Attributes:
        max_connections: Connections served side by side, a thread each.
        max_header_bytes: The request line and headers together.
        max_body_bytes: One request's body.
        header_timeout: From the first byte of a request to its last header.
        body_timeout: The time to read one body.
        idle_timeout: Between two requests of one connection.
        write_timeout: For one write to the caller.
    """

    max_connections: int = 1024
    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    header_timeout: timedelta = timedelta(seconds=5)
    body_timeout: timedelta = timedelta(seconds=20)
    idle_timeout: timedelta = timedelta(seconds=30)
    write_timeout: timedelta = timedelta(seconds=10)
