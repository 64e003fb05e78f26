"""Read-only clients and data types of the platform's services."""

from oriolepaddle.lazy import make_loader

__all__ = [
    "ClientDirectory",
    "ClientRecord",
    "ConfigurationService",
    "Instance",
    "InstanceList",
    "InstanceListService",
    "InstanceState",
    "ServiceReading",
    "ServiceValue",
]

__getattr__ = make_loader(
    __name__,
    {
        "directory": ("ClientRecord",),
        "instance": (
            "Instance",
            "InstanceList",
            "InstanceState",
        ),
        "services": (
            "ClientDirectory",
            "ConfigurationService",
            "InstanceListService",
        ),
        "value": (
            "ServiceReading",
            "ServiceValue",
        ),
    },
)
