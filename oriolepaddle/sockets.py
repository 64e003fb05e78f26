"""The state of a connection in the kernel."""

import fcntl
import socket
import struct
import termios

__all__ = ["count_queued_bytes", "count_received_bytes"]

TCP_INFO_BYTES = 136
RECEIVED_OFFSET = 128
"""Position of `tcpi_bytes_received` in Linux's `struct tcp_info`."""


def count_queued_bytes(connection: socket.socket) -> int:
    """Return the bytes that the kernel has accepted and the other side has not."""
    answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("@i", 0))
    return struct.unpack("@i", answer)[0]


def count_received_bytes(connection: socket.socket) -> int | None:
    """Return the bytes received since the connection was made, None if not known."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < TCP_INFO_BYTES:
        return None
    return struct.unpack_from("=Q", info, RECEIVED_OFFSET)[0]
