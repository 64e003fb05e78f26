"""Requests of the model and the tries that they make."""

from collections.abc import Callable

import attrs

from oriolepaddle.errors import EndpointError
from oriolepaddle.quarantine import CrashEvidence

__all__ = ["Request", "Try"]


@attrs.define(eq=False)
class Request:
    """One request of a caller; times in seconds.

    Attributes:
        fingerprint: What it asks for.
        organisation: Who asks.
        work_s: How long an endpoint of normal speed works on it.
        is_idempotent: Whether it may be run twice.
        is_crasher: Whether it crashes each endpoint that runs it.
        arrived_s: When it arrived.
        waited_s: How long the quarantine made it wait.
    """

    fingerprint: bytes
    organisation: str
    work_s: float
    is_idempotent: bool
    arrived_s: float
    is_crasher: bool = False
    waited_s: float = 0.0


@attrs.define(eq=False)
class Try:
    """One try at one endpoint.

    Attributes:
        request: What is tried.
        endpoint: The endpoint's name.
        on_answer: Called with the try at its whole answer.
        on_failure: Called with the try, its error and what was seen.
        started_s: When the endpoint began to work on it, in seconds, or None.
        is_over: Whether it was answered, failed or was cancelled.
    """

    request: Request
    endpoint: str
    on_answer: Callable[["Try"], None]
    on_failure: Callable[["Try", EndpointError, CrashEvidence | None], None]
    started_s: float | None = None
    is_over: bool = False
