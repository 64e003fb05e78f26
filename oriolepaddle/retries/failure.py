"""Failed attempts, as input of the retry policy."""

import attrs

from oriolepaddle.errors import OriolepaddleError

__all__ = ["Failure"]


@attrs.frozen
class Failure:
    """A failed attempt of a request.

    Attributes:
        error: The error; its outcome says whether the request may have run.
        attempt: The number of the attempt, from 1.
        organisation: The organisation that the request runs for.
        endpoint: The endpoint, or the instance that the request was forwarded to.
        is_idempotent: Whether the request may safely run twice.
        bytes_sent_to_caller: Bytes of the response body already sent to the caller.
        deadline_s: Deadline for the complete response, in seconds of the
            monotonic clock.
        is_resumable: Whether another attempt can continue the response.
    """

    error: OriolepaddleError
    attempt: int
    organisation: str
    endpoint: str
    is_idempotent: bool
    bytes_sent_to_caller: int
    deadline_s: float
    is_resumable: bool
