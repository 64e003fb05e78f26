"""Results of reconciling an engine."""

import enum

import attrs

__all__ = ["CommandOutcome", "CommandResult"]


class CommandOutcome(enum.StrEnum):
    """Outcome of reconciling one engine in one pass."""

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
    """Result of reconciling one engine in one pass.

    Attributes:
        endpoint: Id of the engine's endpoint.
        ticket: Ticket number of the engine's placement.
        outcome: Outcome of the pass for this engine.
    """

    endpoint: str
    ticket: int
    outcome: CommandOutcome
