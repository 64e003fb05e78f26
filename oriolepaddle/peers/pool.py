"""The links to all peers."""

import threading
from datetime import timedelta
from typing import Any

from oriolepaddle.errors import PeerUnavailableError
from oriolepaddle.peers.addresses import PeerAddresses
from oriolepaddle.peers.identity import PeerIdentity
from oriolepaddle.peers.link import PeerLink
from oriolepaddle.peers.service import PeerService

__all__ = ["PeerPool"]


class PeerPool:
    """A `PeerCaller` with one link to each peer that is called.

    Args:
        identity: This instance's identity.
        secret: The peer secret.
        addresses: Resolves the peers' addresses.
    """

    def __init__(
        self, identity: PeerIdentity, secret: bytes, addresses: PeerAddresses
    ) -> None:
        self._identity = identity
        self._secret = secret
        self._addresses = addresses
        self._lock = threading.Lock()
        self._links: dict[str, PeerLink] = {}
        self._is_closed = False

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Call a method of a peer; see `PeerCaller.call`."""
        return self._link(instance).call(service, method, request, timeout)

    def retain(self, instances: set[str]) -> None:
        """Close the links to peers that are not in `instances`."""
        with self._lock:
            removed = [name for name in self._links if name not in instances]
            links = [self._links.pop(name) for name in removed]
        for link in links:
            link.close()

    def close(self) -> None:
        """Close all links and refuse later calls."""
        self._is_closed = True
        self.retain(set())

    def _link(self, instance: str) -> PeerLink:
        address = self._addresses.peer_address(instance)
        if address is None or self._is_closed:
            raise PeerUnavailableError(f"no address of instance {instance}")
        with self._lock:
            link = self._links.get(instance)
            if link is None or link.address != address:
                link = PeerLink(instance, address, self._identity, self._secret)
                self._links[instance] = link
            return link
