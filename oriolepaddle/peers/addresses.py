"""The interface that resolves an instance's peer address."""

from typing import Protocol

__all__ = ["PeerAddresses"]


class PeerAddresses(Protocol):
    """Maps instances to the addresses of their peer listeners."""

    def peer_address(self, instance: str) -> str | None:
        """Return `host:port` of an instance's peer listener, or None."""
        ...
