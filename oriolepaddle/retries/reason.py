"""Reasons to retry a failed attempt or not."""

import enum

__all__ = ["RetryReason"]


class RetryReason(enum.StrEnum):
    """The reason of a `RetryDecision`; a label of the retry counters."""

    NOT_RUN = "not_run"
    """The attempt was not run, so that any request may be retried."""

    IDEMPOTENT = "idempotent"
    """The attempt may have run, and the request may safely run twice."""

    RESUMABLE = "resumable"
    """Another attempt can continue the response after the bytes already sent."""

    NOT_RETRYABLE = "not_retryable"
    """Another attempt would fail too, for example with a withdrawn key."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """The attempt may have run, and the request is not idempotent."""

    BYTES_SENT = "bytes_sent"
    """Part of a response that cannot be resumed was already sent to the caller."""

    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    """The request has reached the maximum number of attempts."""

    DEADLINE = "deadline"
    """Too little time remains before the request's deadline."""

    INSTANCE_BUDGET = "instance_budget"
    """The instance's retry budget is exhausted."""

    ORGANISATION_BUDGET = "organisation_budget"
    """The organisation's retry budget is exhausted."""

    ENDPOINT_BUDGET = "endpoint_budget"
    """The retry budget of the failing endpoint is exhausted."""
