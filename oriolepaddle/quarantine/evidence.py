"""Observations at the end of a run, and whether they indicate a crash."""

import enum

import attrs

__all__ = ["ConnectionEnd", "CrashEvidence", "HealthAnswer"]


class ConnectionEnd(enum.StrEnum):
    """How the connection that carried a run ended."""

    RESET = "reset"
    """It was reset, or closed before the answer was complete."""

    SILENT = "silent"
    """No data arrived before a timeout."""

    CANCELLED = "cancelled"
    """The gateway closed it."""


class HealthAnswer(enum.StrEnum):
    """The result of a health check on a new connection after the run."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"
    NOT_CHECKED = "not_asked"


@attrs.frozen
class CrashEvidence:
    """Observations at the end of a run without a complete answer.

    Attributes:
        connection: How the connection ended.
        health: The result of the health check afterwards.
        incarnation_before: The endpoint's incarnation when the run started,
            or None if it reports none.
        incarnation_after: The incarnation that the health check reported, or
            None.
    """

    connection: ConnectionEnd
    health: HealthAnswer = HealthAnswer.NOT_CHECKED
    incarnation_before: str | None = None
    incarnation_after: str | None = None

    @property
    def is_crash(self) -> bool:
        """Whether the endpoint is assumed to have crashed during the run.

        A new incarnation proves a crash, and an unchanged one disproves it. An
        endpoint that answers the health check without an incarnation is assumed
        not to have crashed. A timeout is not a crash, as it may be due to a cut
        link or a lost region. A reset without a conclusive health check is a crash
        until `Quarantine.record_health_answer` dismisses it.
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
