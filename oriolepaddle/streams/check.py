"""The check that an answer belongs to its request."""

import json

from oriolepaddle.errors import AnswerMismatchedError
from oriolepaddle.streams.event import SseEvent
from oriolepaddle.streams.source import StreamHead

__all__ = ["AnswerCheck"]


class AnswerCheck:
    """Checks the header and each event of an answer.

    The first id that an event carries becomes the answer's own; every later
    event, after a resumption too, must carry the same one or none.

    Args:
        request_id: The id that was sent with the request.
        needs_request_id: Whether an answer without a request id is refused.
    """

    def __init__(self, request_id: str, needs_request_id: bool) -> None:
        self._request_id = request_id
        self._needs_request_id = needs_request_id
        self._answer_id: str | None = None
        self._prefix: bytes | None = None

    def check_head(self, head: StreamHead) -> None:
        """Check an answer's header.

        Raises:
            AnswerMismatchedError: It answers another request, or tells none.
        """
        if head.request_id is None and not self._needs_request_id:
            return
        if head.request_id != self._request_id:
            raise AnswerMismatchedError(
                f"answer to {head.request_id!r} came for {self._request_id!r}"
            )

    def check_event(self, event: SseEvent) -> None:
        """Check one event of an answer.

        Raises:
            AnswerMismatchedError: It carries the id of another answer.
        """
        data = event.data
        if not data.startswith(b"{"):
            return
        if self._prefix is not None and data.startswith(self._prefix):
            return
        answer_id = _read_id(data)
        if answer_id is None:
            return
        if self._answer_id is None:
            self._answer_id = answer_id
            self._prefix = _make_prefix(data, answer_id)
        if answer_id != self._answer_id:
            raise AnswerMismatchedError(
                f"event of answer {answer_id!r} came in {self._answer_id!r}"
            )


def _read_id(data: bytes) -> str | None:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return None
    answer_id = document.get("id")
    return answer_id if isinstance(answer_id, str) else None


def _make_prefix(data: bytes, answer_id: str) -> bytes | None:
    # Most engines put the id first: later events need no parsing then.
    for form in (f'{{"id":"{answer_id}",', f'{{"id": "{answer_id}",'):
        prefix = form.encode()
        if data.startswith(prefix):
            return prefix
    return None
