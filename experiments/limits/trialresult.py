"""The results of a trial."""

import attrs

__all__ = ["TrialResult"]


@attrs.define
class TrialResult:
    """The results of one trial.

    Attributes:
        requests: Requests of the organisations within their rates.
        refused: Those refused although the bucket of the whole fleet had the tokens.
        excess_requests: Requests of the organisation above its rate.
        excess_refused: Those refused although the bucket of the whole fleet had
            the tokens.
        overshoot_tokens: The most by which any time window exceeds the limit.
        bytes_per_s: Bytes sent per second and instance, with headers.
    """

    requests: int = 0
    refused: int = 0
    excess_requests: int = 0
    excess_refused: int = 0
    overshoot_tokens: float = 0.0
    bytes_per_s: float = 0.0
