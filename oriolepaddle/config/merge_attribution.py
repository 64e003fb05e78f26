"""A wrapper of the configuration that attributes each merge to one source."""

import threading
from collections.abc import Iterable

from oriolepaddle.config.conflict import Conflict
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.state import ConfigState

__all__ = ["PLATFORM", "AttributingMergeTarget", "CurrentMergeSource"]

# Can't be an instance's id, since these begin with a letter or digit.
PLATFORM = "/platform"


class CurrentMergeSource(threading.local):
    """The source of the merge that the calling thread runs.

    Attributes:
        source_id: The id of the source, or None if no merge is running.
    """

    source_id: str | None = None


class AttributingMergeTarget:
    """A `MergeTarget` that makes the source of each merge known to listeners.

    Args:
        state: The configuration.
        current_source: Stores the source's id during a merge.
        source_id: The source's id: a peer's id or `PLATFORM`.
    """

    def __init__(
        self, state: ConfigState, current_source: CurrentMergeSource, source_id: str
    ) -> None:
        self._state = state
        self._current_source = current_source
        self._source_id = source_id

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        self._current_source.source_id = self._source_id
        try:
            return self._state.merge(entries)
        finally:
            self._current_source.source_id = None

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a complete state that has a floor; return the changed entries."""
        self._current_source.source_id = self._source_id
        try:
            return self._state.adopt(floor, entries)
        finally:
            self._current_source.source_id = None

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a conflict and store it for operators, unless it is stored already."""
        self._state.add_conflict(conflict)
