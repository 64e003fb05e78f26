"""Retry policy for failed attempts, with retry budgets."""

from oriolepaddle.retries.action import RetryAction
from oriolepaddle.retries.budget import RetryBudget
from oriolepaddle.retries.decision import RetryDecision
from oriolepaddle.retries.failure import Failure
from oriolepaddle.retries.policy import RetryPolicy
from oriolepaddle.retries.reason import RetryReason
from oriolepaddle.retries.settings import RetrySettings

__all__ = [
    "Failure",
    "RetryAction",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryReason",
    "RetrySettings",
]
