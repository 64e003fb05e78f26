"""A counter of state changes."""

import attrs

__all__ = ["Version"]


@attrs.define
class Version:
    """Counts the changes of all tables that share it.

    Attributes:
        value: The number of the last change.
    """

    value: int = 0

    def increase(self) -> int:
        """Increment the counter and return its new value."""
        self.value += 1
        return self.value
