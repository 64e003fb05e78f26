"""Whether the request behind an error was run."""

import enum

__all__ = ["Outcome"]


class Outcome(enum.StrEnum):
    """What is known of the run of a request that ended in an error."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"
