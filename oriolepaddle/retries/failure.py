"""A failed try, as the retry policy needs to know it."""

import attrs

from oriolepaddle.errors import OriolepaddleError

__all__ = ["Failure"]


@attrs.frozen
class Failure:
    """A failed try of a request.

    Attributes:
        error: How it failed; its outcome tells whether it may have run.
        attempt: The number of the failed try, 1 for the first.
        organisation: The organisation that the request runs for.
        endpoint: The endpoint, or the instance passed on to, that was tried.
        is_idempotent: Whether a second run does no harm.
        bytes_sent_to_caller: Bytes of the answer's body that were sent on.
        deadline_s: When the whole answer must have been sent, by the
            monotonic clock, in seconds.
        is_resumable: Whether the answer can be continued by another try.
    """

    error: OriolepaddleError
    attempt: int
    organisation: str
    endpoint: str
    is_idempotent: bool
    bytes_sent_to_caller: int
    deadline_s: float
    is_resumable: bool
