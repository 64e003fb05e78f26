"""The configuration as one source writes to it."""

import threading
from collections.abc import Iterable

from oriolepaddle.config.conflict import Conflict
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.state import ConfigState

__all__ = ["PLATFORM", "SourceOfThread", "SourcedState"]

# Not an instance's id: those begin with a letter or digit.
PLATFORM = "/platform"


class SourceOfThread(threading.local):
    """The source of the merge that the calling thread is in, or None."""

    name: str | None = None


class SourcedState:
    """Names the source of each merge to the listeners; a `MergeTarget`.

    Args:
        state: The configuration.
        source: Where the source's name is kept during a merge.
        name: A peer's id or `PLATFORM`.
    """

    def __init__(self, state: ConfigState, source: SourceOfThread, name: str) -> None:
        self._state = state
        self._source = source
        self._name = name

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        self._source.name = self._name
        try:
            return self._state.merge(entries)
        finally:
            self._source.name = None

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a whole state that stands on a floor; return what changed."""
        self._source.name = self._name
        try:
            return self._state.adopt(floor, entries)
        finally:
            self._source.name = None

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a contradiction and keep it for operators."""
        self._state.add_conflict(conflict)
