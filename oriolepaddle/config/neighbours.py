"""What the spread of configuration needs to know of the fleet."""

from typing import Protocol

from oriolepaddle.membership.links import LinkChoice
from oriolepaddle.publication import InstanceList

__all__ = ["Neighbours"]


class Neighbours(Protocol):
    """The peers to spread configuration to; a `Membership` is one."""

    def links(self) -> LinkChoice:
        """Return the peers that this instance heartbeats."""
        ...

    def neighbours(self) -> tuple[str, ...]:
        """Return the links and the peers that heartbeat this instance."""
        ...

    def reachable(self) -> frozenset[str]:
        """Return the ids of the peers that answered a heartbeat lately."""
        ...

    def config_digest(self, instance: str) -> tuple[int, int] | None:
        """Return digest and highest ticket number that a peer last told."""
        ...

    def published(self) -> InstanceList | None:
        """Return the last list read from the platform, or None before that."""
        ...

    def last_answer_s(self) -> float | None:
        """Return when the last answered heartbeat was sent, or None."""
        ...
