"""The event that tells a caller that its answer was cut short."""

import json

from oriolepaddle.errors import OriolepaddleError

__all__ = ["make_truncation_event"]


def make_truncation_event(
    error: OriolepaddleError, request_id: str, offset: int
) -> bytes:
    """Return the last event of an answer that is not whole.

    Args:
        error: Why the answer ends.
        request_id: The id of the request.
        offset: Events with data that the caller was sent before it.
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
