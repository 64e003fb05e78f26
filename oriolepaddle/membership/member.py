"""What is known of one instance in one of its lives."""

import enum

import attrs

from oriolepaddle.publication import Instance, InstanceState

__all__ = ["Member", "MemberStatus"]


class MemberStatus(enum.StrEnum):
    """How an instance stands, as this instance sees it."""

    REACHABLE = "reachable"
    LEAVING = "leaving"
    VANISHED = "vanished"
    LISTED = "listed"


@attrs.frozen
class Member:
    """An instance that was heard, directly or through others.

    Attributes:
        instance: Its addresses, size and state, by its own word.
        incarnation: The life in which it said so.
        heard_at_s: This instance's monotonic time at which it was heard.
        has_restarted: Whether an earlier life of it was heard before.
    """

    instance: Instance
    incarnation: int
    heard_at_s: float
    has_restarted: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it is leaving."""
        return self.instance.state is InstanceState.LEAVING
