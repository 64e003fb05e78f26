"""Spare and wanted tokens that instances announce to each other."""

import attrs

__all__ = ["TokenNeed"]


@attrs.frozen
class TokenNeed:
    """Spare and wanted tokens of one organisation at one instance.

    Attributes:
        spare: Tokens that the instance can grant to others.
        wanted: Tokens that the instance would accept.
    """

    spare: int
    wanted: int
