"""What was seen when a run ended, and whether that was a crash."""

import enum

import attrs

__all__ = ["ConnectionEnd", "CrashEvidence", "HealthAnswer"]


class ConnectionEnd(enum.StrEnum):
    """How the connection that carried a run ended."""

    RESET = "reset"
    """It was reset, or closed before the answer was whole."""

    SILENT = "silent"
    """Nothing came until a timeout."""

    CANCELLED = "cancelled"
    """The gateway itself ended it."""


class HealthAnswer(enum.StrEnum):
    """What the endpoint's health check gave on a new connection afterwards."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"
    NOT_CHECKED = "not_asked"


@attrs.frozen
class CrashEvidence:
    """What was seen when a run ended without its whole answer.

    Attributes:
        connection: How the connection ended.
        health: What the health check gave afterwards.
        incarnation_before: The endpoint's incarnation when the run started,
            or None if it tells none.
        incarnation_after: The incarnation that the health check named, or
            None.
    """

    connection: ConnectionEnd
    health: HealthAnswer = HealthAnswer.NOT_CHECKED
    incarnation_before: str | None = None
    incarnation_after: str | None = None

    @property
    def is_crash(self) -> bool:
        """Whether the endpoint is taken to have crashed during the run.

        A new incarnation proves a crash and the old one disproves it. An
        endpoint that answers but names no incarnation is taken not to have
        crashed. Silence may be a cut link or a lost region, and condemns
        nobody. A reset that no health check has explained counts as a crash
        until `Quarantine.record_health_answer` refutes it.
        """
        if self.connection is ConnectionEnd.CANCELLED:
            return False
        if self.incarnation_before is not None and self.incarnation_after is not None:
            return self.incarnation_before != self.incarnation_after
        if self.health is HealthAnswer.ANSWERED:
            return False
        if self.health is HealthAnswer.REFUSED:
            return True
        return self.connection is ConnectionEnd.RESET
