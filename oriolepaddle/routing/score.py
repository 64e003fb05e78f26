"""How one endpoint or data centre was scored for one request."""

import attrs

__all__ = ["Score"]


@attrs.frozen
class Score:
    """The estimate behind a choice; the lowest total wins.

    Attributes:
        target: Id of the endpoint, or of the data centre.
        queueing_s: Seconds until the request would begin to run.
        prefill_s: Seconds of prefill for the part that is not cached.
        cached_tokens: Prompt tokens expected in the prefix cache.
        delay_s: Seconds on the way there and back.
        total_s: What the choice compares, in seconds.
    """

    target: str
    queueing_s: float
    prefill_s: float
    cached_tokens: float
    delay_s: float
    total_s: float

    @property
    def first_token_s(self) -> float:
        """Seconds until the first token is expected."""
        return self.queueing_s + self.prefill_s + self.delay_s
