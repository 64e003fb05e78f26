"""The score of an endpoint or data centre for a request."""

import attrs

__all__ = ["Score"]


@attrs.frozen
class Score:
    """The estimated cost of a target; the lowest total is chosen.

    Attributes:
        target: Id of the endpoint, or of the data centre.
        queueing_s: Expected seconds until the request would begin to run.
        prefill_s: Expected seconds of prefill for the uncached part of the prompt.
        cached_tokens: Prompt tokens expected in the prefix cache.
        delay_s: Network round-trip time in seconds.
        total_s: The total cost that targets are compared by, in seconds.
    """

    target: str
    queueing_s: float
    prefill_s: float
    cached_tokens: float
    delay_s: float
    total_s: float

    @property
    def first_token_s(self) -> float:
        """Expected seconds until the first token."""
        return self.queueing_s + self.prefill_s + self.delay_s
