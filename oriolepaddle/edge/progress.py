"""The state of a request's attempts."""

import threading

import attrs

from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.placement import ExpectedWork

__all__ = ["ExchangeProgress", "Placed"]


@attrs.frozen
class Placed:
    """Where an attempt was sent, and why.

    Attributes:
        target: The endpoint or instance.
        expected_s: The expected time to the first byte, in seconds.
        prefix_source: The endpoint from which the prompt's prefix may be fetched.
        work: What the expected time was derived from.
    """

    target: str = ""
    expected_s: float = 0.0
    prefix_source: str | None = None
    work: ExpectedWork | None = None


@attrs.define
class ExchangeProgress:
    """The attempts of one request, of which two may run at a time.

    Attributes:
        earlier_runs: Endpoints that may have run the request before it was
            forwarded to this instance.
        may_forward: Whether it may still be forwarded to another region.
        excluded: Incarnations of endpoints that failed the request.
        attempts: The number of attempts so far, at endpoints and instances.
        runs: Endpoints that may have run the request, earlier ones included.
        active_runs: Attempts that have not ended, which `runs` doesn't count.
        placed: Where the last attempt was sent.
        first_byte_s: Monotonic time of the first byte, or None.
        has_retry_token: Whether a retry token was acquired and not used yet.
        last_uncertain_error: The last failure after which the request may have run.
        failed_answer: The complete error response of an endpoint that has not been
            sent to the caller.
    """

    earlier_runs: int
    may_forward: bool
    excluded: frozenset[str] = frozenset()
    attempts: int = 0
    runs: int = 0
    active_runs: int = 0
    placed: Placed = Placed()
    first_byte_s: float | None = None
    has_retry_token: bool = False
    last_uncertain_error: OriolepaddleError | None = None
    failed_answer: EdgeSink | None = None
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self.runs = self.earlier_runs

    @property
    def has_run(self) -> bool:
        """Whether an endpoint may have run the request on behalf of this instance."""
        return self.runs > self.earlier_runs

    @property
    def possible_runs(self) -> int:
        """Endpoints that may have run the request, or may run it now."""
        return self.runs + self.active_runs

    def begin_attempt(self, placed: Placed) -> None:
        """Add an attempt that is sent now."""
        with self._lock:
            self.attempts += 1
            self.active_runs += 1
            self.placed = placed

    def count_attempt(self, sink: EdgeSink) -> None:
        """Add an attempt that has ended to the runs, unless it was refused."""
        is_refusal = sink.answer is not None and sink.answer.kind.is_refusal
        with self._lock:
            self.active_runs -= 1
            self.runs += sink.is_sent and not is_refusal

    def exclude(self, incarnation: str) -> None:
        """Exclude an endpoint that failed the request, or seems to have lost it."""
        with self._lock:
            self.excluded |= {incarnation}
