"""What a run of the experiment gave."""

import attrs

__all__ = ["TrialResult"]


@attrs.define
class TrialResult:
    """What a run gave.

    Attributes:
        requests: Requests of the organisations inside their rates.
        refused: Those refused although the fleet's bucket had the tokens.
        excess_requests: Requests of the organisation above its rate.
        excess_refused: Those refused although the fleet's bucket had the tokens.
        overshoot_tokens: The most by which any window held too much.
        bytes_per_s: Bytes sent a second by each instance, headers included.
    """

    requests: int = 0
    refused: int = 0
    excess_requests: int = 0
    excess_refused: int = 0
    overshoot_tokens: float = 0.0
    bytes_per_s: float = 0.0
