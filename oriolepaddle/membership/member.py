"""The record of one instance in one incarnation."""

import enum

import attrs

from oriolepaddle.publication import Instance, InstanceState

__all__ = ["Member", "MemberStatus"]


class MemberStatus(enum.StrEnum):
    """The status of an instance, as seen by this instance."""

    REACHABLE = "reachable"
    LEAVING = "leaving"
    VANISHED = "vanished"
    LISTED = "listed"


@attrs.frozen
class Member:
    """An instance that was seen, directly or through others.

    Attributes:
        instance: The addresses, size and state that it reported.
        incarnation: The incarnation that reported them.
        last_seen_s: When it was last seen, in this instance's monotonic time.
        has_restarted: Whether an earlier incarnation was seen before.
    """

    instance: Instance
    incarnation: int
    last_seen_s: float
    has_restarted: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it has announced that it is leaving."""
        return self.instance.state is InstanceState.LEAVING
