"""Numbered change tickets."""

import attrs

from oriolepaddle.config.entry import Entry

__all__ = ["Ticket"]


@attrs.frozen
class Ticket:
    """A validated change ticket.

    Attributes:
        number: Its number; a higher one goes before a lower one.
        entries: The whole new state of each object that it touches.
    """

    number: int
    entries: tuple[Entry, ...]
