"""What came of reconciling one engine."""

import enum

import attrs

__all__ = ["CommandOutcome", "CommandResult"]


class CommandOutcome(enum.StrEnum):
    """What came of reconciling one engine."""

    IN_PLACE = "in place"
    LOADING = "loading"
    APPLIED = "applied"
    CORRECTED = "corrected"
    OVERTAKEN = "overtaken"
    REFUSED = "refused"
    FAILED = "failed"
    UNREADABLE = "unreadable"
    BACKING_OFF = "backing off"
    WAITING_FOR_LOADS = "waiting for loads"
    SUPERSEDED = "superseded"
    STALE_TICKET = "stale ticket"
    STALE_KNOWLEDGE = "stale knowledge"


@attrs.frozen
class CommandResult:
    """What came of reconciling one engine.

    Attributes:
        endpoint: The engine's endpoint.
        ticket: The ticket number of its placement.
        outcome: What came of it.
    """

    endpoint: str
    ticket: int
    outcome: CommandOutcome
