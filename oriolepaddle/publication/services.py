"""The read-only interfaces of the platform's services."""

from datetime import timedelta
from typing import Protocol

from oriolepaddle.publication.directory import ClientRecord
from oriolepaddle.publication.instance import InstanceList
from oriolepaddle.publication.value import ServiceReading

__all__ = ["ClientDirectory", "ConfigurationService", "InstanceListService"]


class ConfigurationService(Protocol):
    """The platform's key-value service."""

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values below `prefix` written after a revision.

        Raises:
            PlatformUnavailableError: The service did not respond.
        """
        ...

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Wait for values written after a revision, at most `timeout`.

        Raises:
            PlatformUnavailableError: The service did not respond.
        """
        ...


class InstanceListService(Protocol):
    """The platform's list of gateway instances."""

    def watch(self, after_revision: int, timeout: timedelta) -> InstanceList:
        """Wait until the list has changed, at most `timeout`, and return it.

        Args:
            after_revision: The revision last read, or 0 to return at once.
            timeout: The longest wait, after which the unchanged list is returned.

        Raises:
            PlatformUnavailableError: The service did not respond.
        """
        ...


class ClientDirectory(Protocol):
    """The platform's directory of clients."""

    def read(self) -> tuple[ClientRecord, ...]:
        """Return all clients.

        Raises:
            PlatformUnavailableError: The service did not respond.
        """
        ...
