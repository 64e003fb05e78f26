"""The platform's services, which can only be read and watched."""

from oriolepaddle.platform.directory import ClientRecord
from oriolepaddle.platform.instance import Instance, InstanceList, InstanceState
from oriolepaddle.platform.services import (
    ClientDirectory,
    ConfigurationService,
    InstanceListService,
)
from oriolepaddle.platform.value import ServiceReading, ServiceValue

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
