"""Evidence that distinguishes an endpoint's crash from other failures."""

from oriolepaddle.config.model import Endpoint
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    OriolepaddleError,
    Outcome,
)
from oriolepaddle.quarantine import ConnectionEnd, CrashEvidence, HealthAnswer

__all__ = ["gather_evidence"]

_BROKEN_CONNECTION_ERRORS = (EndpointFailedError, AnswerTruncatedError)


def gather_evidence(
    health: HealthChecker, endpoint: Endpoint, error: OriolepaddleError
) -> CrashEvidence | None:
    """Return the evidence of a crash that a failed run gives, or None.

    Args:
        health: Checks the endpoint's health over a new connection.
        endpoint: The endpoint.
        error: The error with which the run failed.
    """
    if isinstance(error, EndpointUnreachableError):
        return CrashEvidence(ConnectionEnd.CANCELLED, HealthAnswer.REFUSED)
    if isinstance(error, EndpointTimeoutError) and error.outcome is Outcome.UNKNOWN:
        return CrashEvidence(ConnectionEnd.SILENT)
    if not isinstance(error, _BROKEN_CONNECTION_ERRORS):
        return None
    incarnation_before = health.last_incarnation(endpoint.address)
    answer = health.check(endpoint.address)
    return CrashEvidence(
        ConnectionEnd.RESET,
        _classify_health(answer.is_up, answer.is_refused),
        incarnation_before,
        answer.incarnation,
    )


def _classify_health(is_up: bool, is_refused: bool) -> HealthAnswer:
    if is_up:
        return HealthAnswer.ANSWERED
    return HealthAnswer.REFUSED if is_refused else HealthAnswer.SILENT
