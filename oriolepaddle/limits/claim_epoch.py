"""The spans in which an instance may hold claims."""

from typing import Self

import attrs

from oriolepaddle.peers.gen_py.limits.ttypes import Life as LifeMessage

__all__ = ["UNKNOWN_LIFE", "Life"]


@attrs.frozen(order=True)
class Life:
    """One span in which an instance held claims without a break.

    Attributes:
        incarnation: The instance's incarnation.
        lapses: How often it has given its claim up since it started.
    """

    incarnation: int
    lapses: int = 0

    @classmethod
    def read(cls, message: LifeMessage) -> Self:
        """Return the life that a message names."""
        return cls(message.incarnation, message.lapses)

    def write(self) -> LifeMessage:
        """Return the life as a message."""
        return LifeMessage(incarnation=self.incarnation, lapses=self.lapses)


UNKNOWN_LIFE = Life(-1)
