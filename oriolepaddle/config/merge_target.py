"""The interface into which configuration that was read is merged."""

from collections.abc import Iterable
from typing import Protocol

from oriolepaddle.config.conflict import Conflict
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor

__all__ = ["MergeTarget"]


class MergeTarget(Protocol):
    """Merges entries and complete states. `ConfigState` implements it."""

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        ...

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a complete state with its floor; return the changed entries."""
        ...

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a conflict and store it for operators."""
        ...
