"""What is counted when orders are passed on."""

import enum

__all__ = ["ForwardEvent"]


class ForwardEvent(enum.StrEnum):
    """A reason for another call, or an end without the issuer's answer."""

    ATTEMPT_LOST = "sending did not reach the issuer"
    REPLY_LOST = "issuer's reply lost"
    COLLECT_LOST = "collecting call lost"
    ANSWERED_BY_SUCCESSOR = "answered by a successor"
    OUTCOME_UNKNOWN = "outcome unknown"
