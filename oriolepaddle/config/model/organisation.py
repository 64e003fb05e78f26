"""Organisations: the tenants whose callers use the gateway."""

import attrs

__all__ = ["Organisation"]


@attrs.frozen
class Organisation:
    """A tenant with its rate, burst and region of residency.

    Attributes:
        id: The name that keys refer to.
        rate_tokens_per_s: Tokens that the organisation may use each second,
            over all instances together.
        burst_tokens: Tokens that may be used at once after a pause.
        residency: Regions in which its requests may be served; empty for any.
        weight: Its part of a saturated endpoint, relative to others.
    """

    id: str
    rate_tokens_per_s: float
    burst_tokens: float
    residency: tuple[str, ...] = ()
    weight: float = 1.0
