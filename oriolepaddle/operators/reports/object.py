"""The report `ObjectReport`."""

import attrs

__all__ = ["ObjectReport"]


@attrs.frozen
class ObjectReport:
    """A configuration object with the ticket that wrote it."""

    kind: str
    id: str
    ticket: int
    value: str | None
