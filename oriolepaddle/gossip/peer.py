"""What is known of another instance."""

import attrs

from oriolepaddle.peers.gen_py.gossip.ttypes import Announcement

__all__ = ["GossipPeer"]


@attrs.define
class GossipPeer:
    """An instance that was heard of.

    Attributes:
        gossip_address: Where its datagrams go.
        announcement: Its last word, or None before the first.
        heard_s: Monotonic time at which it came.
        sent_s: Monotonic time of the last datagram to it.
    """

    gossip_address: tuple[str, int]
    announcement: Announcement | None = None
    heard_s: float = float("-inf")
    sent_s: float = float("-inf")
