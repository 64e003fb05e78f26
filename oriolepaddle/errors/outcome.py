"""Whether a request that ended in an error was run."""

import enum

__all__ = ["Outcome"]


class Outcome(enum.StrEnum):
    """Whether a request that ended in an error was run, as far as is known."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"
