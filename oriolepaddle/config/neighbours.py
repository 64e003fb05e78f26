"""The interface to the fleet that configuration replication needs."""

from typing import Protocol

from oriolepaddle.membership.links import LinkChoice
from oriolepaddle.publication import InstanceList

__all__ = ["Neighbours"]


class Neighbours(Protocol):
    """The peers to exchange configuration with. `Membership` implements it."""

    def links(self) -> LinkChoice:
        """Return the peers that this instance sends heartbeats to."""
        ...

    def neighbours(self) -> tuple[str, ...]:
        """Return the links and the peers that send heartbeats to this instance."""
        ...

    def reachable(self) -> frozenset[str]:
        """Return the ids of the peers that answered a heartbeat recently."""
        ...

    def config_digest(self, instance: str) -> tuple[int, int] | None:
        """Return the digest and highest ticket number that a peer last reported."""
        ...

    def published(self) -> InstanceList | None:
        """Return the last list read from the platform, or None if there is none."""
        ...

    def last_answer_s(self) -> float | None:
        """Return when the last answered heartbeat was sent, or None."""
        ...
