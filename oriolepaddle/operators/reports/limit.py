"""The report `LimitReport`."""

import attrs

__all__ = ["LimitReport"]


@attrs.frozen
class LimitReport:
    """An organisation's limit at this instance.

    Attributes:
        organisation: The organisation.
        rate_tokens_per_s: Its rate over the fleet.
        burst_tokens: Its burst over the fleet.
        share: The part of both that this instance may mint.
        balance_tokens: Tokens that this instance may spend now.
        borrowed_tokens_per_s: Rate borrowed from others.
        lent_tokens_per_s: Rate lent to others.
    """

    organisation: str
    rate_tokens_per_s: float
    burst_tokens: float
    share: float
    balance_tokens: float
    borrowed_tokens_per_s: float
    lent_tokens_per_s: float
