"""The interface of the store in which documents and endpoints are published."""

from datetime import timedelta
from typing import Protocol

import attrs

from oriolepaddle.catalog.document import ConfigDocument
from oriolepaddle.catalog.endpoint import RegisteredEndpoint
from oriolepaddle.errors import PlatformUnavailableError

__all__ = ["CatalogChange", "CatalogReading", "CatalogSource", "HistoryGoneError"]


class HistoryGoneError(PlatformUnavailableError):
    """The store no longer has the changes since a revision: read everything."""


@attrs.frozen
class CatalogChange:
    """One thing that was written or removed; one field beside `key` is set.

    Attributes:
        key: Where it is published.
        document: A new configuration.
        endpoint: What an endpoint now says.
        evacuated: A data centre that is to get no work.
        is_removed: Whether the key is gone.
    """

    key: str
    document: ConfigDocument | None = None
    endpoint: RegisteredEndpoint | None = None
    evacuated: str | None = None
    is_removed: bool = False


@attrs.frozen
class CatalogReading:
    """The result of one call.

    Attributes:
        changes: What was read, in the order of the store.
        revision: Where to go on.
        is_whole: Whether the changes are all that there is.
    """

    changes: tuple[CatalogChange, ...]
    revision: int
    is_whole: bool = False


class CatalogSource(Protocol):
    """Reads what is published."""

    def read(self) -> CatalogReading:
        """Return everything that is published.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        ...

    def watch(self, revision: int, timeout: timedelta) -> CatalogReading:
        """Wait for changes after a revision, at most `timeout`.

        Raises:
            HistoryGoneError: The changes are no longer known.
            PlatformUnavailableError: The store did not answer.
        """
        ...
