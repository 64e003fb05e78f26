"""Bounds of the command issuer."""

from datetime import timedelta

import attrs

__all__ = ["CommandLimits"]


@attrs.frozen
class CommandLimits:
    """Bounds on how often engines are read, commanded and made to load.

    Attributes:
        interval: The pause between two passes of the first-ranked instance.
        extra_intervals_per_rank: How many intervals longer each further rank pauses.
        max_loads: Engines of one data centre that load side by side.
        load_grace: How long a load that was sent counts although the engine
            does not report it yet.
        max_age: The oldest knowledge on which an engine without fencing is
            commanded.
        min_backoff: The pause after the first command to an engine that has
            not taken it on; it doubles with each further one.
        max_backoff: The longest such pause.
        max_corrections: Commands sent again within one pass when an older one
            came last.
    """

    interval: timedelta = timedelta(seconds=5)
    extra_intervals_per_rank: int = 3
    max_loads: int = 2
    load_grace: timedelta = timedelta(seconds=10)
    max_age: timedelta = timedelta(seconds=8)
    min_backoff: timedelta = timedelta(seconds=2)
    max_backoff: timedelta = timedelta(minutes=5)
    max_corrections: int = 2
