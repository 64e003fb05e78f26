"""The error event that marks a truncated response."""

import json

from oriolepaddle.errors import OriolepaddleError

__all__ = ["make_truncation_event"]


def make_truncation_event(
    error: OriolepaddleError, request_id: str, offset: int
) -> bytes:
    """Return the last event of a truncated response.

    Args:
        error: Why the response was truncated.
        request_id: The id of the request.
        offset: The number of events with data that were sent before this one.
    """
    document = {
        "error": {
            "code": error.code.code,
            "message": error.message,
            "outcome": error.outcome.value,
            "request_id": request_id,
            "events": offset,
        }
    }
    data = json.dumps(document, separators=(",", ":"))
    return f"event: error\ndata: {data}\n\n".encode()
