"""The state of a connection in the kernel."""

import fcntl
import socket
import struct
import termios

__all__ = ["count_queued_bytes"]


def count_queued_bytes(connection: socket.socket) -> int:
    """Return the bytes that the kernel has accepted and the other side has not."""
    answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("@i", 0))
    return struct.unpack("@i", answer)[0]
