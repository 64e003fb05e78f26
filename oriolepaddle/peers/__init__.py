"""Links between instances: thrift calls over one connection to each peer."""

from oriolepaddle.peers.addresses import PeerAddresses
from oriolepaddle.peers.caller import PeerCaller
from oriolepaddle.peers.identity import PeerIdentity
from oriolepaddle.peers.pool import PeerPool
from oriolepaddle.peers.server import PeerServer
from oriolepaddle.peers.service import PeerService

__all__ = [
    "PeerAddresses",
    "PeerCaller",
    "PeerIdentity",
    "PeerPool",
    "PeerServer",
    "PeerService",
]
