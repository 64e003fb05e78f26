"""The decoded status and headers of an endpoint's response."""

import enum

import attrs

from oriolepaddle.signals import EndpointSignals, ReportedLoad

__all__ = ["AnswerKind", "EndpointAnswer"]

SERVER_ERROR = 500
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell callers that the request was not run and never will be."""


class AnswerKind(enum.StrEnum):
    """What a response's status and headers say about the run."""

    RAN = "ran"
    NOT_RUN = "not run"
    OTHER_ENDPOINT = "other endpoint"
    FOREIGN = "foreign"

    @property
    def is_refusal(self) -> bool:
        """Whether the endpoint reported that it did not run the request."""
        return self in (AnswerKind.NOT_RUN, AnswerKind.OTHER_ENDPOINT)


@attrs.frozen
class EndpointAnswer:
    """The status and headers of a response.

    Attributes:
        kind: Whether the endpoint ran the request; `FOREIGN` if the response does
            not belong to this request.
        status: The HTTP status.
        headers: Header fields to send to the caller.
        is_stream: Whether the body is an event stream.
        load: The load that the endpoint reports, or None.
        signals: What the endpoint says of itself.
        length: The length of the body in bytes, or None if it was not declared.
    """

    kind: AnswerKind
    status: int
    headers: tuple[tuple[str, str], ...]
    is_stream: bool = False
    load: ReportedLoad | None = None
    signals: EndpointSignals = EndpointSignals()
    length: int | None = None

    @property
    def is_of_endpoint(self) -> bool:
        """Whether the endpoint that the request was sent to wrote the response."""
        return self.kind in (AnswerKind.RAN, AnswerKind.NOT_RUN)

    @property
    def is_success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    @property
    def is_server_error(self) -> bool:
        """Whether the status reports a failure of the endpoint (5xx)."""
        return self.status >= SERVER_ERROR

    @property
    def promises_not_run(self) -> bool:
        """Whether the status tells callers that the request was not run."""
        return self.status in NOT_RUN_STATUSES
