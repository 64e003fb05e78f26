"""Links between instances: thrift RPC over one connection to each peer."""

from oriolepaddle.lazy import make_loader

__all__ = [
    "PeerAddresses",
    "PeerCaller",
    "PeerIdentity",
    "PeerPool",
    "PeerServer",
    "PeerService",
]

__getattr__ = make_loader(
    __name__,
    {
        "addresses": ("PeerAddresses",),
        "caller": ("PeerCaller",),
        "identity": ("PeerIdentity",),
        "pool": ("PeerPool",),
        "server": ("PeerServer",),
        "service": ("PeerService",),
    },
)
