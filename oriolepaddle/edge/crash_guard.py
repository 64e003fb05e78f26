"""Keeps one request from crashing endpoints."""

import enum
from collections.abc import Callable

import attrs

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.crashes import RequestKeys, SuspectRun, make_request_keys
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    OriolepaddleError,
)

__all__ = ["CrashEvidence", "CrashGuard", "RunEnd", "make_keys"]


class CrashEvidence(enum.StrEnum):
    """What the failure of a run was recorded as."""

    NONE = "none"
    CRASH = "crash"
    BROKEN_CONNECTION = "broken connection"


@attrs.frozen
class RunEnd:
    """What is known of a run that failed.

    Attributes:
        evidence: What it was recorded as.
        has_ended: Whether the endpoint's process is known to have ended; None if that
            was not checked.
    """

    evidence: CrashEvidence = CrashEvidence.NONE
    has_ended: bool | None = None


class CrashGuard:
    """Checks a request against known crashes, and records those of its attempts.

    Args:
        context: The components that request handling uses.
        request: The request.
        service: The service that runs it.
        check_caller: Raises an error if the caller has disconnected.
    """

    def __init__(
        self,
        context: EdgeContext,
        request: EdgeRequest,
        service: str,
        check_caller: Callable[[], None],
    ) -> None:
        self._context = context
        self._keys = make_keys(request, service)
        self._check_caller = check_caller
        self._run: SuspectRun | None = None

    def check(self) -> None:
        """Refuse the request if it is known to crash endpoints.

        Raises:
            RefusedError: The request was not run.
        """
        self._context.crashes.check(self._keys)

    def start_attempt(self, wait_until_s: float) -> None:
        """Wait until the request may run, if it is suspected of a crash.

        Args:
            wait_until_s: Monotonic time after which it is refused instead.

        Raises:
            RefusedError: The request was not run.
            OSError: The caller has disconnected.
        """
        self._run = self._context.crashes.start(
            self._keys, wait_until_s, self._check_caller
        )

    def end_attempt(self) -> None:
        """Let other requests with the same suspects run."""
        if self._run is not None:
            self._context.crashes.end(self._run)
            self._run = None

    @property
    def request_key(self) -> str:
        """The key under which crashes of the whole request are recorded."""
        return self._keys.request

    def record_first_event(self) -> None:
        """Clear the parts of the prompt: an endpoint has begun to answer it."""
        self._context.crashes.record_event(self._keys.parts)
        self.end_attempt()

    def record_answer(self) -> None:
        """Clear the whole request: an endpoint has answered it."""
        self._context.crashes.record_event({self._keys.request})

    def record_failure(
        self, endpoint: RegisteredEndpoint, sink: EdgeSink, error: OriolepaddleError
    ) -> RunEnd:
        """Record a crash, if there was one before the first event."""
        # A truncated response had begun, even if its head never was complete.
        is_truncated = type(error) is AnswerTruncatedError
        is_failed = type(error) is EndpointFailedError and sink.answer is None
        if not sink.is_sent or sink.events or not (is_truncated or is_failed):
            return RunEnd()
        context, keys = self._context, self._keys
        is_leaving = not context.catalog.may_send(endpoint)
        has_ended = None
        if keys.parts and not is_leaving:
            has_ended = context.liveness.has_ended(endpoint)
        if has_ended:
            context.crashes.record_crash(
                endpoint.incarnation, keys, has_begun=is_truncated
            )
            return RunEnd(CrashEvidence.CRASH, has_ended)
        if is_failed:
            context.crashes.record_broken_connection(endpoint.incarnation, keys)
            return RunEnd(CrashEvidence.BROKEN_CONNECTION, has_ended)
        return RunEnd(has_ended=has_ended)


def make_keys(request: EdgeRequest, service: str) -> RequestKeys:
    """Return the keys of a request, which do not depend on its caller."""
    texts = [request.method, request.host, request.target]
    texts += [part.id for part in request.parts]
    content = [text.encode("latin-1", "replace") for text in texts]
    part_ids = [part.id for part in request.shared_parts]
    return make_request_keys(service, [*content, request.body], part_ids)
