"""What must still be given back to other instances."""

import threading

from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.limits.ttypes import Settlement, SettleRequest

__all__ = ["Settlements"]

MAX_QUEUED = 2_000
MAX_SENT = 500


class Settlements:
    """Queues settlements of draws and sends them in batches.

    A settlement that cannot be delivered costs the organisation the refund,
    never more.

    Args:
        link: Calls the peers.
        identity: This instance in its present life.
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
            del queue[:-MAX_QUEUED]

    def send(self) -> None:
        """Send what is queued; what fails is kept for the next time."""
        with self._lock:
            peers = list(self._queues)
        for peer in peers:
            self._send_to(peer)

    def _send_to(self, peer: str) -> None:
        with self._lock:
            batch = self._queues.get(peer, [])[:MAX_SENT]
        request = SettleRequest(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            settlements=batch,
        )
        if batch and self._link.call(peer, "settle", request) is None:
            return
        with self._lock:
            sent = {item.number for item in batch}
            left = [item for item in self._queues[peer] if item.number not in sent]
            if left:
                self._queues[peer] = left
            else:
                del self._queues[peer]
