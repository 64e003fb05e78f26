"""Loopback addresses and ports that no other process takes meanwhile."""

import itertools
import os
import socket
from contextlib import ExitStack

__all__ = ["LoopbackNetwork"]

HOSTS = 250
"""Addresses that are handed out before the first one comes again."""


class LoopbackNetwork:
    """Hands out addresses of a network that belongs to one process.

    A port is found by binding and closing, and bound again later. On an address
    that several processes use, another one may take it in between.

    Args:
        process: The id of the process that the network is for.
    """

    def __init__(self, process: int | None = None) -> None:
        number = os.getpid() if process is None else process
        self._prefix = f"127.{1 + number // 250 % 250}.{number % 250}"
        self._hosts = itertools.cycle(range(1, HOSTS + 1))

    def add_host(self) -> str:
        """Return an address that was not handed out lately."""
        return f"{self._prefix}.{next(self._hosts)}"

    @staticmethod
    def find_ports(
        host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM
    ) -> list[int]:
        """Return free ports of an address, all of them different."""
        with ExitStack() as stack:
            # All stay bound until the last is found, as a closed one may be
            # given out again at once.
            found = [stack.enter_context(_bind(host, kind)) for _ in range(count)]
            return [item.getsockname()[1] for item in found]


def _bind(host: str, kind: socket.SocketKind) -> socket.socket:
    bound = socket.socket(socket.AF_INET, kind)
    bound.bind((host, 0))
    return bound
