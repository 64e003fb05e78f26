"""The interface through which other subpackages see the fleet."""

from typing import Protocol

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

__all__ = ["MembershipView"]


class MembershipView(Protocol):
    """This instance's view of the fleet; also a `PeerAddresses`.

    Two instances may have different views at the same time.
    """

    @property
    def identity(self) -> PeerIdentity:
        """This instance and its incarnation."""
        ...

    def published(self) -> InstanceList | None:
        """Return the last list read from the platform, or None before that."""
        ...

    def instance(self, instance: str) -> Instance | None:
        """Return an instance that is listed or known through peers, or None."""
        ...

    def reachable(self) -> frozenset[str]:
        """Return the ids of the peers that answered a heartbeat recently."""
        ...

    def incarnation(self, instance: str) -> int | None:
        """Return the latest known incarnation of an instance, or None."""
        ...

    def peer_address(self, instance: str) -> str | None:
        """Return `host:port` of an instance's peer listener, or None."""
        ...
