"""One object's state at one ticket number."""

import attrs

from oriolepaddle.config.model import ConfigObject, ObjectKind

__all__ = ["Entry"]


@attrs.frozen
class Entry:
    """The whole state of one object, as one ticket wrote it.

    Attributes:
        kind: The object's kind.
        id: The object's id, unique within its kind.
        number: The number of the ticket that wrote this state.
        value: The object, or None if the ticket deleted it (a tombstone).
        document: The value's canonical JSON, empty for a tombstone.
    """

    kind: ObjectKind
    id: str
    number: int
    value: ConfigObject | None
    document: str = ""

    @property
    def is_tombstone(self) -> bool:
        """Whether the object is deleted."""
        return self.value is None
