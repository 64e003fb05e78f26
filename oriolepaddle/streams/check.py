"""Checks that a response belongs to its request."""

import json

from oriolepaddle.errors import AnswerMismatchedError
from oriolepaddle.streams.event import SseEvent
from oriolepaddle.streams.source import StreamHead

__all__ = ["AnswerCheck"]


class AnswerCheck:
    """Checks the headers and each event of a response.

    The first id in an event is the response's id. Every later event, including those
    after a resumption, must have the same id or none.

    Args:
        request_id: The id that was sent with the request.
        needs_request_id: Whether a response without a request id is rejected.
    """

    def __init__(self, request_id: str, needs_request_id: bool) -> None:
        self._request_id = request_id
        self._needs_request_id = needs_request_id
        self._response_id: str | None = None
        self._id_prefix: bytes | None = None

    def check_head(self, head: StreamHead) -> None:
        """Check the headers of a response.

        Raises:
            AnswerMismatchedError: The request id is missing or that of another request.
        """
        if head.request_id is None and not self._needs_request_id:
            return
        if head.request_id != self._request_id:
            raise AnswerMismatchedError(
                f"a response to request {head.request_id!r} was received for "
                f"{self._request_id!r}"
            )

    def check_event(self, event: SseEvent) -> None:
        """Check one event of a response.

        Raises:
            AnswerMismatchedError: The event has the id of another response.
        """
        data = event.data
        if not data.startswith(b"{"):
            return
        if self._id_prefix is not None and data.startswith(self._id_prefix):
            return
        response_id = _read_id(data)
        if response_id is None:
            return
        if self._response_id is None:
            self._response_id = response_id
            self._id_prefix = _make_id_prefix(data, response_id)
        if response_id != self._response_id:
            raise AnswerMismatchedError(
                f"an event of response {response_id!r} was received in "
                f"{self._response_id!r}"
            )


def _read_id(data: bytes) -> str | None:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return None
    response_id = document.get("id")
    return response_id if isinstance(response_id, str) else None


def _make_id_prefix(data: bytes, response_id: str) -> bytes | None:
    # Most engines write the id first, so later events needn't be parsed.
    for form in (f'{{"id":"{response_id}",', f'{{"id": "{response_id}",'):
        prefix = form.encode()
        if data.startswith(prefix):
            return prefix
    return None
