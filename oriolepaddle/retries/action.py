"""What is done after a failed try."""

import enum

__all__ = ["RetryAction"]


class RetryAction(enum.StrEnum):
    """What the gateway does after a failed try."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give_up"
