"""The bytes that the kernel may queue for the sockets of a process.

They count towards the memory limit of the process, and the kernel lets a queue grow to
several megabytes if a fast sender meets a reader that stops.
"""

import socket

import attrs

from oriolepaddle.buffers.budget import BYTES_PER_MB

__all__ = ["SocketQueues", "make_socket_queues"]

MEMORY_FRACTION = 1 / 6
"""Fraction of the process's memory limit for the queues of all its sockets."""
QUEUES_PER_CONNECTION = 3
"""A request's bytes, the bytes of the response and those that are not yet sent."""
MIN_QUEUE_BYTES = 16_384
"""With a round trip of 2.8 ms within a region, this still carries 47 Mbit/s."""
MAX_QUEUE_BYTES = 131_072
MIN_FAR_QUEUE_BYTES = 262_144
"""For round trips of 160 ms to another region."""


@attrs.frozen
class SocketQueues:
    """The largest queues of sockets; 0 leaves their size to the kernel.

    Attributes:
        near_bytes: Of connections within the region.
        far_bytes: Of connections to instances of other regions.
    """

    near_bytes: int = 0
    far_bytes: int = 0

    def for_peers(self) -> "SocketQueues":
        """Return the queues of connections from instances, which may be far away."""
        return SocketQueues(self.far_bytes, self.far_bytes)

    def limit_listener(self, listener: socket.socket) -> None:
        """Bound the queues of all connections that a listener accepts."""
        if self.near_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.near_bytes)
            # Bounds what is written and not yet sent; the window is not bounded by it.
            listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, self.near_bytes
            )


def make_socket_queues(memory_mb: float, max_connections: int) -> SocketQueues:
    """Return the queues of a process.

    Args:
        memory_mb: The process's memory limit in megabytes, 0 if it is not known.
        max_connections: The maximum number of callers' connections.
    """
    if not memory_mb:
        return SocketQueues()
    total_bytes = memory_mb * BYTES_PER_MB * MEMORY_FRACTION
    share_bytes = int(total_bytes / max_connections / QUEUES_PER_CONNECTION)
    near_bytes = min(MAX_QUEUE_BYTES, max(MIN_QUEUE_BYTES, share_bytes))
    return SocketQueues(near_bytes, max(MIN_FAR_QUEUE_BYTES, near_bytes))
