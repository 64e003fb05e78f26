"""A counter of changes."""

import attrs

__all__ = ["Version"]


@attrs.define
class Version:
    """Counts the changes of the tables that share it.

    Attributes:
        value: The number of the last change.
    """

    value: int = 0

    def increase(self) -> int:
        """Count a change and return its number."""
        self.value += 1
        return self.value
