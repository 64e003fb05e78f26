"""Actions after a failed attempt."""

import enum

__all__ = ["RetryAction"]


class RetryAction(enum.StrEnum):
    """What the gateway does after a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give_up"
