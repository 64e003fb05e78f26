"""Settlements of draws from other instances."""

import threading

from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.limits.ttypes import Settlement, SettleRequest

__all__ = ["Settlements"]

MAX_QUEUED_SETTLEMENTS = 2_000
MAX_BATCH_SETTLEMENTS = 500


class Settlements:
    """Queues settlements of draws and sends them in batches.

    If a settlement cannot be delivered, the organisation loses the refund, but no
    other tokens.

    Args:
        link: Sends requests to peers.
        identity: This instance and its incarnation.
    """

    def __init__(self, link: LimitsLink, identity: PeerIdentity) -> None:
        self._link = link
        self._identity = identity
        self._lock = threading.Lock()
        self._queues: dict[str, list[Settlement]] = {}

    def add(self, peer: str, number: int, used: float) -> None:
        """Queue the settlement of one draw."""
        with self._lock:
            queue = self._queues.setdefault(peer, [])
            queue.append(Settlement(number=number, used=used))
            del queue[:-MAX_QUEUED_SETTLEMENTS]

    def send(self) -> None:
        """Send the queued settlements; failed ones stay queued for the next call."""
        with self._lock:
            peers = list(self._queues)
        for peer in peers:
            self._send_to(peer)

    def _send_to(self, peer: str) -> None:
        with self._lock:
            batch = self._queues.get(peer, [])[:MAX_BATCH_SETTLEMENTS]
        request = SettleRequest(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            settlements=batch,
        )
        if batch and self._link.call(peer, "settle", request) is None:
            return
        with self._lock:
            sent_numbers = {item.number for item in batch}
            remaining = [
                item for item in self._queues[peer] if item.number not in sent_numbers
            ]
            if remaining:
                self._queues[peer] = remaining
            else:
                del self._queues[peer]
