"""Why a failed try is repeated or not."""

import enum

__all__ = ["RetryReason"]


class RetryReason(enum.StrEnum):
    """The reason of a `RetryDecision`; a label of the retry counters."""

    NOT_RUN = "not_run"
    """The try was not run, so that any request may be tried again."""

    IDEMPOTENT = "idempotent"
    """The try may have run, and a second run does no harm."""

    RESUMABLE = "resumable"
    """The answer goes on after the bytes that the caller has."""

    NOT_RETRYABLE = "not_retryable"
    """Another try would fail alike, such as one with a withdrawn key."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """The try of a non-idempotent request may have run."""

    BYTES_SENT = "bytes_sent"
    """The caller has a part of an answer that cannot be resumed."""

    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    """The request was tried the most times allowed."""

    DEADLINE = "deadline"
    """Too little time is left before the request's deadline."""

    INSTANCE_BUDGET = "instance_budget"
    """This instance's retries have reached their share of its requests."""

    ORGANISATION_BUDGET = "organisation_budget"
    """The organisation's retries have reached their share."""

    ENDPOINT_BUDGET = "endpoint_budget"
    """The failing endpoint has caused its share of the retries."""
