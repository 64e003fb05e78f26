"""A view of the configuration that attributes merges to one source."""

import threading
from collections.abc import Iterable

from oriolepaddle.config.conflict import Conflict
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.state import ConfigState

__all__ = ["PLATFORM", "SourcedState", "ThreadSource"]

# Can't be an instance's id, since these begin with a letter or digit.
PLATFORM = "/platform"


class ThreadSource(threading.local):
    """The source of the merge that runs on the calling thread, or None."""

    name: str | None = None


class SourcedState:
    """A `MergeTarget` that makes the source of each merge known to listeners.

    Args:
        state: The configuration.
        thread_source: Stores the source's name during a merge.
        name: The source's name: a peer's id or `PLATFORM`.
    """

    def __init__(
        self, state: ConfigState, thread_source: ThreadSource, name: str
    ) -> None:
        self._state = state
        self._thread_source = thread_source
        self._name = name

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        self._thread_source.name = self._name
        try:
            return self._state.merge(entries)
        finally:
            self._thread_source.name = None

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a complete state with its floor; return the changed entries."""
        self._thread_source.name = self._name
        try:
            return self._state.adopt(floor, entries)
        finally:
            self._thread_source.name = None

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a conflict and store it for operators."""
        self._state.add_conflict(conflict)
