"""Limits of the command issuer."""

from datetime import timedelta

import attrs

__all__ = ["CommandLimits"]


@attrs.frozen
class CommandLimits:
    """Limits on reads of engines, on commands and on concurrent loads.

    Attributes:
        interval: Pause between two passes of the first-ranked instance.
        extra_intervals_per_rank: Intervals by which the pause grows with each
            further rank.
        max_loads: Engines of one data centre that may load concurrently.
        load_grace: Time for which a load that was sent counts as running even
            if the engine does not report it yet.
        max_age: Maximum age of the configuration for commands to an engine
            without fencing.
        min_backoff: Pause after the first command that an engine did not
            apply; it doubles with each further command.
        max_backoff: Maximum pause.
        max_corrections: Maximum number of times that a command is resent
            within one pass because an older command reached the engine after it.
    """

    interval: timedelta = timedelta(seconds=5)
    extra_intervals_per_rank: int = 3
    max_loads: int = 2
    load_grace: timedelta = timedelta(seconds=10)
    max_age: timedelta = timedelta(seconds=8)
    min_backoff: timedelta = timedelta(seconds=2)
    max_backoff: timedelta = timedelta(minutes=5)
    max_corrections: int = 2
