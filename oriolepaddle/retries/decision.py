"""Decisions of the retry policy."""

from datetime import timedelta

import attrs

from oriolepaddle.retries.action import RetryAction
from oriolepaddle.retries.reason import RetryReason

__all__ = ["RetryDecision"]


@attrs.frozen
class RetryDecision:
    """What to do after a failed attempt.

    Attributes:
        action: What to do.
        reason: The reason; a label of the retry counters.
        delay: How long to wait before the next attempt.
    """

    action: RetryAction
    reason: RetryReason
    delay: timedelta = timedelta(0)
