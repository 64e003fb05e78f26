"""Configuration tickets, their merged state and its replication to all instances."""

from oriolepaddle.lazy import make_loader

__all__ = [
    "CONFIGURATION_SERVICE",
    "ConfigState",
    "ConfigSync",
    "Conflict",
    "ConflictKind",
    "Entry",
    "Floor",
    "PlatformReader",
    "Rejection",
    "Rejections",
    "StalenessGuard",
    "Ticket",
    "digest_key",
    "find_key",
    "parse_ticket",
    "write_ticket",
]

__getattr__ = make_loader(
    __name__,
    {
        "codec": (
            "parse_ticket",
            "write_ticket",
        ),
        "conflict": (
            "Conflict",
            "ConflictKind",
        ),
        "entry": ("Entry",),
        "floor": ("Floor",),
        "keys": (
            "digest_key",
            "find_key",
        ),
        "platform_reader": ("PlatformReader",),
        "rejections": (
            "Rejection",
            "Rejections",
        ),
        "staleness": ("StalenessGuard",),
        "state": ("ConfigState",),
        "sync": ("ConfigSync",),
        "ticket": ("Ticket",),
        "wire": ("CONFIGURATION_SERVICE",),
    },
)
