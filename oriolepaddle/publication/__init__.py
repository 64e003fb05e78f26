"""The platform's services, which can only be read and watched."""

from oriolepaddle.publication.directory import ClientRecord
from oriolepaddle.publication.instance import Instance, InstanceList, InstanceState
from oriolepaddle.publication.services import (
    ClientDirectory,
    ConfigurationService,
    InstanceListService,
)
from oriolepaddle.publication.value import ServiceReading, ServiceValue

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
