"""Loopback addresses and ports that are reserved for one process."""

import itertools
import os
import socket
from contextlib import ExitStack

__all__ = ["LoopbackNetwork"]

HOST_COUNT = 250
"""Number of addresses that are assigned before the first one is reused."""


class LoopbackNetwork:
    """Assigns loopback addresses from a subnet derived from a process id.

    A free port is found by binding and closing a socket, and is bound again later. On
    an address that several processes share, another one may bind it in between.

    Args:
        process: The process id; by default that of the current process.
    """

    def __init__(self, process: int | None = None) -> None:
        process_id = os.getpid() if process is None else process
        self._prefix = f"127.{1 + process_id // 250 % 250}.{process_id % 250}"
        self._hosts = itertools.cycle(range(1, HOST_COUNT + 1))

    def add_host(self) -> str:
        """Return an address that was not assigned recently."""
        return f"{self._prefix}.{next(self._hosts)}"

    @staticmethod
    def find_ports(
        host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM
    ) -> list[int]:
        """Return distinct free ports of an address."""
        with ExitStack() as stack:
            # All sockets stay bound until the last port is found, as the system may
            # assign the port of a closed socket again at once.
            sockets = [stack.enter_context(_bind(host, kind)) for _ in range(count)]
            return [item.getsockname()[1] for item in sockets]


def _bind(host: str, kind: socket.SocketKind) -> socket.socket:
    bound_socket = socket.socket(socket.AF_INET, kind)
    bound_socket.bind((host, 0))
    return bound_socket
