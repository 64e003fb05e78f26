"""The limits of a server and its connections."""

from datetime import timedelta

import attrs

__all__ = ["ServerLimits"]


@attrs.frozen
class ServerLimits:
    """Limits that prevent slow or idle clients from occupying all threads.

    Attributes:
        max_connections: The maximum number of connections, each with a thread.
        max_header_bytes: The maximum size of the request line and headers together.
        max_body_bytes: The maximum size of a request's body.
        header_timeout: The longest time from a request's first byte to its last
            header.
        body_timeout: The longest time to read a request's body.
        idle_timeout: The longest time between two requests of a connection.
        write_timeout: The longest time for one write to the client.
    """

    max_connections: int = 1024
    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    header_timeout: timedelta = timedelta(seconds=5)
    body_timeout: timedelta = timedelta(seconds=20)
    idle_timeout: timedelta = timedelta(seconds=30)
    write_timeout: timedelta = timedelta(seconds=10)
