"""What is known of another instance."""

import attrs

from oriolepaddle.edge.resolver import EntryInstance

__all__ = ["RosterEntry"]


@attrs.frozen
class RosterEntry:
    """An instance in one of its lives.

    Entries are equal if they say the same, whenever it was heard.

    Attributes:
        instance: How callers see it.
        incarnation: The life.
        peer_address: `host:port` at which it serves other instances.
        is_ready: Whether callers may be sent there.
        is_leaving: Whether it is about to end.
        last_seen_s: Monotonic time at which it was last heard, directly or through
            others.
    """

    instance: EntryInstance
    incarnation: int
    peer_address: str
    is_ready: bool
    is_leaving: bool
    last_seen_s: float = attrs.field(eq=False)

    @property
    def host(self) -> str:
        """The IP number at which it hears datagrams, too."""
        return self.peer_address.rpartition(":")[0]

    @property
    def id(self) -> str:
        """The instance's id."""
        return self.instance.id
