"""Where the readers of configuration put what they read."""

from collections.abc import Iterable
from typing import Protocol

from oriolepaddle.config.conflict import Conflict
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor

__all__ = ["MergeTarget"]


class MergeTarget(Protocol):
    """Takes entries and whole states; a `ConfigState` is one."""

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        ...

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a whole state that stands on a floor; return what changed."""
        ...

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a contradiction and keep it for operators."""
        ...
