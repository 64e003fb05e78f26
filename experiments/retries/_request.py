"""Simulated requests and their attempts at endpoints."""

from collections.abc import Callable

import attrs

from oriolepaddle.errors import EndpointError
from oriolepaddle.quarantine import CrashEvidence

__all__ = ["Attempt", "Request"]


@attrs.define(eq=False)
class Request:
    """A request of a caller. Times are in seconds.

    Attributes:
        fingerprint: The fingerprint of the request.
        organisation: The organisation of the caller.
        work_s: The duration at an endpoint of normal speed.
        is_idempotent: Whether the request may run twice.
        is_crasher: Whether it crashes each endpoint that runs it.
        arrived_s: When the request arrived.
        waited_s: The delay by the quarantine so far.
    """

    fingerprint: bytes
    organisation: str
    work_s: float
    is_idempotent: bool
    arrived_s: float
    is_crasher: bool = False
    waited_s: float = 0.0


@attrs.define(eq=False)
class Attempt:
    """One attempt of a request at one endpoint.

    Attributes:
        request: The request.
        endpoint: The endpoint's name.
        on_answer: Called with the attempt when its answer is complete.
        on_failure: Called with the attempt, its error and the crash evidence.
        started_s: When the endpoint started it, in seconds, or None.
        is_over: Whether it was answered, failed or cancelled.
    """

    request: Request
    endpoint: str
    on_answer: Callable[["Attempt"], None]
    on_failure: Callable[["Attempt", EndpointError, CrashEvidence | None], None]
    started_s: float | None = None
    is_over: bool = False
