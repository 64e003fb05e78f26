"""What the other subpackages may know of the fleet."""

from typing import Protocol

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import Instance, InstanceList

__all__ = ["MembershipView"]


class MembershipView(Protocol):
    """The fleet as this instance sees it; a `PeerAddresses` too.

    Two instances may hold different views at the same time.
    """

    @property
    def identity(self) -> PeerIdentity:
        """This instance in its present life."""
        ...

    def published(self) -> InstanceList | None:
        """Return the last list read from the platform, or None before that."""
        ...

    def instance(self, instance: str) -> Instance | None:
        """Return an instance that is listed or known through peers, or None."""
        ...

    def reachable(self) -> frozenset[str]:
        """Return the ids of the peers that answered a heartbeat lately."""
        ...

    def incarnation(self, instance: str) -> int | None:
        """Return the incarnation last heard of an instance, or None."""
        ...

    def peer_address(self, instance: str) -> str | None:
        """Return `host:port` of an instance's peer listener, or None."""
        ...
