"""Events that are counted when orders are forwarded."""

import enum

__all__ = ["ForwardEvent"]


class ForwardEvent(enum.StrEnum):
    """A cause of a further call, or an outcome without the issuer's answer."""

    ATTEMPT_LOST = "sending did not reach the issuer"
    REPLY_LOST = "issuer's reply lost"
    COLLECT_LOST = "collecting call lost"
    ANSWERED_BY_SUCCESSOR = "answered by a successor"
    OUTCOME_UNKNOWN = "outcome unknown"
