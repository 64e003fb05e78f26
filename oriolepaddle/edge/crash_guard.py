"""Keeps one request from crashing endpoints."""

import enum
from collections.abc import Callable

import attrs

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.crashes import (
    ActiveRun,
    RequestKeys,
    SuspectRun,
    make_request_keys,
)
from oriolepaddle.edge.answer import EndpointAnswer
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointReplacedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    OriolepaddleError,
)

__all__ = ["CrashEvidence", "CrashGuard", "RunEnd", "make_keys"]

MIN_ID_LENGTH = 8
"""Length below which a caller's id may occur in a request by chance."""


class CrashEvidence(enum.StrEnum):
    """What the failure of a run was recorded as."""

    NONE = "none"
    CRASH = "crash"
    BREAK = "break before an event"
    BROKEN_CONNECTION = "broken connection"
    CUT = "cut"
    SILENCE = "silence"


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
        self._active: ActiveRun | None = None
        self._was_cut = False

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
        crashes = self._context.crashes
        self._run = crashes.start(self._keys, wait_until_s, self._check_caller)
        self._was_cut = crashes.was_cut(self._keys)

    def start_run(self, endpoint: RegisteredEndpoint, sink: EdgeSink) -> None:
        """Record that the request is sent to an endpoint."""
        self._active = ActiveRun(
            endpoint,
            self._keys,
            self._context.clock.monotonic_s(),
            lambda: sink.answer is not None,
        )
        self._context.crashes.add_active(self._active)

    def end_attempt(self) -> None:
        """Let other requests with the same suspects run."""
        if self._active is not None:
            self._context.crashes.discard_active(self._active)
            self._active = None
        self.end_turn()

    def end_turn(self) -> None:
        """Let other requests with the same suspects run beside this attempt."""
        run, self._run = self._run, None
        if run is not None:
            self._context.crashes.end(run)

    @property
    def request_key(self) -> str:
        """The key under which crashes of the whole request are recorded."""
        return self._keys.request

    def record_first_event(self, endpoint: RegisteredEndpoint, sent_s: float) -> None:
        """Clear the parts of the prompt: an endpoint has begun to answer it.

        Args:
            endpoint: The endpoint.
            sent_s: Monotonic time before the request was sent there.
        """
        crashes = self._context.crashes
        crashes.record_event(self._keys.parts)
        crashes.record_alive(endpoint.incarnation, sent_s)
        self.end_attempt()

    def record_answer(self, answer: EndpointAnswer) -> None:
        """Clear the whole request if an endpoint has run it to its end.

        A failure doesn't show that the request is harmless: the endpoint may not have
        begun to run it.
        """
        if answer.is_success:
            self._context.crashes.record_success(self._keys)

    def record_failure(
        self, endpoint: RegisteredEndpoint, sink: EdgeSink, error: OriolepaddleError
    ) -> RunEnd:
        """Record what the failure of a run says about the request and its parts.

        Only a failure before the first event counts against the parts of the prompt.
        Any run that was cut off counts against the whole request.
        """
        self._record_sign_of_end(endpoint, error)
        if not sink.is_sent:
            return RunEnd()
        if isinstance(error, EndpointTimeoutError):
            return self.record_silence(endpoint, sink)
        # A truncated response had begun, even if its head never was complete.
        is_truncated = type(error) is AnswerTruncatedError and (
            sink.answer is None or sink.answer.is_success
        )
        is_failed = type(error) is EndpointFailedError and sink.answer is None
        if not (is_truncated or is_failed):
            return RunEnd()
        has_ended = None if sink.events else self._has_ended(endpoint)
        crashes, incarnation = self._context.crashes, endpoint.incarnation
        if has_ended:
            evidence = CrashEvidence.CRASH
            crashes.record_crash(incarnation, self._keys, has_begun=is_truncated)
        elif has_ended is False:
            # A single failure doesn't cut off runs that began after one another's ends.
            evidence = CrashEvidence.BREAK
            crashes.record_break(
                endpoint,
                self._keys,
                has_begun=is_truncated,
                is_certain=is_failed or self._was_cut,
            )
        elif is_failed or self._was_cut:
            evidence = CrashEvidence.BROKEN_CONNECTION
            crashes.record_broken_connection(incarnation, self._keys)
        else:
            evidence = CrashEvidence.CUT
            crashes.record_cut(incarnation, self._keys)
        return RunEnd(evidence, has_ended)

    def record_silence(self, endpoint: RegisteredEndpoint, sink: EdgeSink) -> RunEnd:
        """Record a run that was given up; it counts if its endpoint has ended."""
        if not sink.is_sent:
            return RunEnd()
        self._context.crashes.record_silence(
            endpoint,
            self._keys,
            has_begun=sink.answer is not None,
            has_event=sink.events > 0,
        )
        return RunEnd(CrashEvidence.SILENCE)

    def _record_sign_of_end(
        self, endpoint: RegisteredEndpoint, error: OriolepaddleError
    ) -> None:
        """Record the end of an endpoint at which earlier runs have failed."""
        crashes = self._context.crashes
        if not isinstance(error, (EndpointReplacedError, EndpointUnreachableError)):
            return
        if not crashes.is_pending(endpoint):
            return
        # An endpoint that can't be reached may also be behind a cut link.
        is_replaced = isinstance(error, EndpointReplacedError)
        if is_replaced or self._context.liveness.has_ended(endpoint):
            crashes.record_end(endpoint)

    def _has_ended(self, endpoint: RegisteredEndpoint) -> bool | None:
        """Return whether an endpoint crashed; None if its end may be a planned one."""
        catalog = self._context.catalog
        if catalog.is_replaced(endpoint):
            return True
        if not catalog.may_send(endpoint):
            return None
        return self._context.liveness.has_ended(endpoint)


def make_keys(request: EdgeRequest, service: str) -> RequestKeys:
    """Return the keys of a request, which do not depend on its caller.

    The caller's id is left out, as it is new each time that the request is sent. The
    last part of the prompt may be new as well, so beside a body it counts only for the
    exact digest.
    """
    texts = [request.method, request.host, request.target]
    parts = request.shared_parts if request.body else request.parts
    texts += [part.id for part in parts]
    last_part = request.parts[-1].id if request.body and request.parts else ""
    content = [text.encode("latin-1", "replace") for text in texts]
    content.append(request.body)
    if len(request.id) >= MIN_ID_LENGTH:
        request_id = request.id.encode("latin-1", "replace")
        content = [item.replace(request_id, b"") for item in content]
    part_ids = [part.id for part in request.shared_parts]
    return make_request_keys(
        service, content, part_ids, last_part.encode("latin-1", "replace")
    )
