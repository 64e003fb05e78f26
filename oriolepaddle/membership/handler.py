"""The thrift handler of the membership service."""

from oriolepaddle.membership.membership import Membership
from oriolepaddle.peers.gen_py.membership.ttypes import Heartbeat

__all__ = ["MembershipHandler"]


class MembershipHandler:
    """Replies to peers' heartbeats.

    Args:
        membership: This instance's membership.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def exchange(self, request: Heartbeat) -> Heartbeat:
        """Reply to one heartbeat."""
        return self._membership.receive(request)
