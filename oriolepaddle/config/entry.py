"""The state of one configuration object at one ticket number."""

import attrs

from oriolepaddle.config.model import ConfigObject, ObjectKind

__all__ = ["Entry"]


@attrs.frozen
class Entry:
    """The complete state of one object, as written by one ticket.

    Attributes:
        kind: The object's kind.
        id: The object's id, unique within its kind.
        number: The number of the ticket that wrote this state.
        value: The object, or None if the ticket deleted it (a tombstone).
        document: The value as canonical JSON, empty for a tombstone.
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
