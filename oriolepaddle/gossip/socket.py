"""The instance's UDP socket."""

import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.gossip.codec import read_datagram, write_datagram
from oriolepaddle.logs import log_event, log_unforeseen
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

__all__ = ["Address", "DatagramSocket"]

MAX_DATAGRAM_BYTES = 60_000
CLOSE_TIMEOUT = timedelta(seconds=1)
"""How long `close` waits for the receiving thread to end."""
Address = tuple[str, int]


class DatagramSocket:
    """A UDP socket that sends from any thread and receives on its own thread.

    Args:
        address: The address to bind to.
        secret: The secret that all instances share.
        on_datagram: Called with each datagram and its source address.
    """

    def __init__(
        self,
        address: Address,
        secret: bytes,
        on_datagram: Callable[[Datagram, Address], None],
    ) -> None:
        self._secret = secret
        self._on_datagram = on_datagram
        self._is_closed = False
        self._unreadable_count = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._thread = threading.Thread(
            target=self._receive, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._thread.is_alive():
            # A datagram to itself wakes the receiving thread.
            self._socket.sendto(b"", self._socket.getsockname())
            self._thread.join(CLOSE_TIMEOUT.total_seconds())
        self._socket.close()

    def send(self, datagram: Datagram, address: Address) -> None:
        """Send a datagram; one that cannot be sent is logged and dropped."""
        try:
            self._socket.sendto(write_datagram(datagram, self._secret), address)
        except (OSError, OverflowError, UnicodeEncodeError) as error:
            # A value that doesn't fit into its field must not end the sender's thread.
            log_event("datagram_not_sent", address=address[0], reason=str(error))

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                if self._is_closed:
                    return
                self._on_datagram(read_datagram(data, self._secret), address)
            except MalformedRequestError as error:
                self._unreadable_count += 1
                log_event(
                    "datagram_unreadable",
                    reason=error.message,
                    count=self._unreadable_count,
                )
            except OSError as error:
                log_event("datagram_not_received", reason=str(error))
            except Exception as error:  # noqa: BLE001 - later ones must be received
                log_unforeseen("gossip-receive", error)
