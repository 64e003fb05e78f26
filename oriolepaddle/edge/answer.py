"""The head of an endpoint's answer, decoded."""

import enum

import attrs

__all__ = ["AnswerKind", "EndpointAnswer"]


class AnswerKind(enum.StrEnum):
    """What an answer's head says of the run."""

    RAN = "ran"
    NOT_RUN = "not run"
    OTHER_ENDPOINT = "other endpoint"
    FOREIGN = "foreign"

    @property
    def is_refusal(self) -> bool:
        """Whether the endpoint says that it did not run the request."""
        return self in (AnswerKind.NOT_RUN, AnswerKind.OTHER_ENDPOINT)


@attrs.frozen
class EndpointAnswer:
    """The head of an answer.

    Attributes:
        kind: Whether it is the answer of a run; `FOREIGN` is one that belongs
            to no or another request.
        status: The HTTP status.
        headers: Header fields for the caller.
        is_stream: Whether the body is a series of events.
        load: Requests running and waiting at the endpoint, or None.
    """

    kind: AnswerKind
    status: int
    headers: tuple[tuple[str, str], ...]
    is_stream: bool = False
    load: tuple[int, int] | None = None

    @property
    def is_success(self) -> bool:
        """Whether the run ended well so far."""
        return 200 <= self.status < 300
