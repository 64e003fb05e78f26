"""Organisations, to which the callers of the gateway belong."""

import attrs

__all__ = ["Organisation"]


@attrs.frozen
class Organisation:
    """An organisation with its rate limit and data residency.

    Attributes:
        id: The organisation's name, to which keys refer.
        rate_tokens_per_s: Tokens per second that the organisation may use over all
            instances together.
        burst_tokens: Tokens that may be used at once after an idle period.
        residency: Regions in which its requests may be served; empty for any.
        weight: Share of a saturated endpoint, relative to other organisations.
    """

    id: str
    rate_tokens_per_s: float
    burst_tokens: float
    residency: tuple[str, ...] = ()
    weight: float = 1.0
