"""Claim epochs of an instance."""

from typing import Self

import attrs

from oriolepaddle.peers.gen_py.limits.ttypes import Life as EpochMessage

__all__ = ["UNKNOWN_EPOCH", "ClaimEpoch"]


@attrs.frozen(order=True)
class ClaimEpoch:
    """A period in which an instance may hold a claim without interruption.

    Attributes:
        incarnation: The instance's incarnation.
        lapses: How many times its mint lease has expired in this incarnation.
    """

    incarnation: int
    lapses: int = 0

    @classmethod
    def from_message(cls, message: EpochMessage) -> Self:
        """Return the epoch of a message."""
        return cls(message.incarnation, message.lapses)

    def to_message(self) -> EpochMessage:
        """Return the epoch as a message."""
        return EpochMessage(incarnation=self.incarnation, lapses=self.lapses)


UNKNOWN_EPOCH = ClaimEpoch(-1)
