"""Whether a request may start at an endpoint now."""

import enum
from datetime import timedelta

import attrs

__all__ = ["StartAction", "StartAdvice"]


class StartAction(enum.StrEnum):
    """How routing handles a candidate endpoint."""

    START = "go"
    """The request may start at the endpoint now."""

    AVOID = "avoid"
    """It may start there, but other endpoints are preferable, as a suspect runs
    there.
    """

    OTHER_ENDPOINT = "other_endpoint"
    """It must not start there, but may start at another endpoint."""

    WAIT = "wait"
    """It must not start anywhere yet; retry after the delay."""


@attrs.frozen
class StartAdvice:
    """The result of `Quarantine.advise_start`.

    Attributes:
        action: How to handle the endpoint.
        delay: For `WAIT`, the time until the next attempt.
        endpoint: The endpoint to try next, or None for any.
    """

    action: StartAction
    delay: timedelta = timedelta(0)
    endpoint: str | None = None
