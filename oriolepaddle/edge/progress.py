"""What has become of a request so far."""

import attrs

from oriolepaddle.edge.sink import EdgeSink
from oriolepaddle.errors import OriolepaddleError

__all__ = ["ExchangeProgress"]


@attrs.define
class ExchangeProgress:
    """The tries of one request.

    Attributes:
        earlier_runs: Endpoints that may have run it before it came here.
        may_forward: Whether it may still be passed on to another region.
        excluded: Lives of endpoints that failed it.
        tries: Endpoints and instances asked so far.
        runs: Endpoints that may have run it, earlier ones included.
        target: The endpoint or instance of the last try.
        expected_s: Seconds to the first byte that were expected of it.
        prefix_source: The endpoint from which it may fetch the prompt's beginning.
        first_byte_s: Monotonic time of the first byte, or None.
        has_repeat: Whether a repeat was granted that is not used yet.
        last_uncertain: The last failure after which it may have run.
        failed_answer: An endpoint's own failure, whole and not passed on.
    """

    earlier_runs: int
    may_forward: bool
    excluded: set[str] = attrs.Factory(set)
    tries: int = 0
    runs: int = 0
    target: str = ""
    expected_s: float = 0.0
    prefix_source: str | None = None
    first_byte_s: float | None = None
    has_repeat: bool = False
    last_uncertain: OriolepaddleError | None = None
    failed_answer: EdgeSink | None = None

    def __attrs_post_init__(self) -> None:
        self.runs = self.earlier_runs

    @property
    def has_run(self) -> bool:
        """Whether an endpoint may have run it since it came here."""
        return self.runs > self.earlier_runs

    def count_try(self, sink: EdgeSink) -> None:
        """Count a try that has ended."""
        is_refusal = sink.answer is not None and sink.answer.kind.is_refusal
        self.runs += sink.is_sent and not is_refusal
