"""Numbered change tickets."""

import attrs

from oriolepaddle.config.entry import Entry

__all__ = ["Ticket"]


@attrs.frozen
class Ticket:
    """A validated change ticket.

    Attributes:
        number: The ticket's number; the higher of two takes precedence.
        entries: The complete new state of each object that it changes.
    """

    number: int
    entries: tuple[Entry, ...]
