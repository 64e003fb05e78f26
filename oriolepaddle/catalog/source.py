"""The interface of the store in which documents and endpoints are published."""

from datetime import timedelta
from typing import Protocol

import attrs

from oriolepaddle.catalog.document import ConfigDocument
from oriolepaddle.catalog.endpoint import RegisteredEndpoint
from oriolepaddle.errors import PlatformUnavailableError

__all__ = ["CatalogChange", "CatalogReading", "CatalogSource", "HistoryGoneError"]


class HistoryGoneError(PlatformUnavailableError):
    """The store no longer has the changes since a revision; read everything again."""


@attrs.frozen
class CatalogChange:
    """One key that was written or removed; one field besides `key` is set.

    Attributes:
        key: The key in the store.
        document: A new configuration.
        is_document_lost: Whether the configuration was removed or can't be read.
        endpoint: A new or changed endpoint.
        evacuated: A data centre to which no requests may be sent.
        is_removed: Whether the key was removed.
    """

    key: str
    document: ConfigDocument | None = None
    endpoint: RegisteredEndpoint | None = None
    evacuated: str | None = None
    is_removed: bool = False
    is_document_lost: bool = False

    @property
    def concerns_document(self) -> bool:
        """Whether the configuration has changed."""
        return self.document is not None or self.is_document_lost


@attrs.frozen
class CatalogReading:
    """The result of one read or watch call.

    Attributes:
        changes: The changes, in the order of the store.
        revision: The revision from which to watch next.
        is_whole: Whether the changes are the complete content of the store.
        era: How often the store has been restored from a copy, or None if it doesn't
            say. Revisions are given out again in each era.
    """

    changes: tuple[CatalogChange, ...]
    revision: int
    is_whole: bool = False
    era: int | None = None


class CatalogSource(Protocol):
    """Reads and watches the store."""

    def read(self) -> CatalogReading:
        """Return the complete content of the store.

        Raises:
            PlatformUnavailableError: The store did not respond.
        """
        ...

    def watch(self, revision: int, timeout: timedelta) -> CatalogReading:
        """Wait for changes after a revision, at most `timeout`.

        Raises:
            HistoryGoneError: The store no longer has the changes.
            PlatformUnavailableError: The store did not respond.
        """
        ...
