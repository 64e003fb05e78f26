"""The instance's socket for datagrams."""

import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.gossip.codec import read_datagram, write_datagram
from oriolepaddle.logs import log_event
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

__all__ = ["Address", "DatagramSocket"]

MAX_DATAGRAM_BYTES = 60_000
CLOSE_TIMEOUT = timedelta(seconds=1)
"""How long the receiving thread may take to end."""
Address = tuple[str, int]


class DatagramSocket:
    """Sends from any thread and receives on one of its own.

    Args:
        address: Where to bind.
        secret: Shared by all instances.
        take: Called with each datagram and where it came from.
    """

    def __init__(
        self,
        address: Address,
        secret: bytes,
        take: Callable[[Datagram, Address], None],
    ) -> None:
        self._secret = secret
        self._take = take
        self._is_closed = False
        self._unreadable = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._thread = threading.Thread(
            target=self._receive, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def close(self) -> None:
        """Receive nothing more."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._thread.is_alive():
            # A datagram to itself wakes the receiving thread.
            self._socket.sendto(b"", self._socket.getsockname())
            self._thread.join(CLOSE_TIMEOUT.total_seconds())
        self._socket.close()

    def send(self, datagram: Datagram, address: Address) -> None:
        """Send a datagram; one that cannot be sent is logged and lost."""
        try:
            self._socket.sendto(write_datagram(datagram, self._secret), address)
        except (OSError, OverflowError) as error:
            # A number that has no room in its field must not end the sender's thread.
            log_event("datagram_not_sent", address=address[0], reason=str(error))

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                if self._is_closed:
                    return
                self._take(read_datagram(data, self._secret), address)
            except MalformedRequestError as error:
                self._unreadable += 1
                log_event(
                    "datagram_unreadable", reason=error.message, count=self._unreadable
                )
            except OSError as error:
                log_event("datagram_not_received", reason=str(error))
