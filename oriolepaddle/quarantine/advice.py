"""Whether a request may start at an endpoint now."""

import enum
from datetime import timedelta

import attrs

__all__ = ["StartAction", "StartAdvice"]


class StartAction(enum.StrEnum):
    """What routing does with an endpoint that it asked about."""

    START = "go"
    """The request may start there now."""

    AVOID = "avoid"
    """It may start there, but a suspect runs there: others are better."""

    OTHER_ENDPOINT = "other_endpoint"
    """It must not start there; another endpoint may do."""

    WAIT = "wait"
    """It must not start anywhere yet; ask again after the delay."""


@attrs.frozen
class StartAdvice:
    """The answer of `Quarantine.may_start`.

    Attributes:
        action: What to do.
        delay: For `WAIT`, how long to wait before asking again.
        endpoint: The endpoint to ask about next, if it matters.
    """

    action: StartAction
    delay: timedelta = timedelta(0)
    endpoint: str | None = None
