"""Telling a crash of an endpoint from other failures."""

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

_BROKEN = (EndpointFailedError, AnswerTruncatedError)


def gather_evidence(
    health: HealthChecker, endpoint: Endpoint, error: OriolepaddleError
) -> CrashEvidence | None:
    """Return what a failed run says of its endpoint, or None if nothing.

    Args:
        health: Asks the endpoint on a new connection.
        endpoint: The endpoint.
        error: What ended the run.
    """
    if isinstance(error, EndpointUnreachableError):
        return CrashEvidence(ConnectionEnd.CANCELLED, HealthAnswer.REFUSED)
    if isinstance(error, EndpointTimeoutError) and error.outcome is Outcome.UNKNOWN:
        return CrashEvidence(ConnectionEnd.SILENT)
    if not isinstance(error, _BROKEN):
        return None
    incarnation_before = health.last_incarnation(endpoint.address)
    answer = health.check(endpoint.address)
    return CrashEvidence(
        ConnectionEnd.RESET,
        _sort_answer(answer.is_up, answer.is_refused),
        incarnation_before,
        answer.incarnation,
    )


def _sort_answer(is_up: bool, is_refused: bool) -> HealthAnswer:
    if is_up:
        return HealthAnswer.ANSWERED
    return HealthAnswer.REFUSED if is_refused else HealthAnswer.SILENT
