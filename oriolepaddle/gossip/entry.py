"""The roster's record of an instance."""

import attrs

from oriolepaddle.edge.resolver import EntryInstance

__all__ = ["RosterEntry"]


@attrs.frozen
class RosterEntry:
    """An instance in one incarnation.

    Equality ignores `last_seen_s`.

    Attributes:
        instance: The instance as callers see it.
        incarnation: The incarnation that the entry describes.
        peer_address: `host:port` at which it serves other instances.
        is_ready: Whether requests may be sent to it.
        is_leaving: Whether it is shutting down.
        last_seen_s: Monotonic time at which it was last seen, directly or
            through other instances.
    """

    instance: EntryInstance
    incarnation: int
    peer_address: str
    is_ready: bool
    is_leaving: bool
    last_seen_s: float = attrs.field(eq=False)

    @property
    def host(self) -> str:
        """The IP address at which it also receives datagrams."""
        return self.peer_address.rpartition(":")[0]

    @property
    def id(self) -> str:
        """The instance's id."""
        return self.instance.id
