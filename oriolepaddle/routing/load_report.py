"""Load reports of endpoints."""

import attrs

__all__ = ["LoadReport"]


@attrs.frozen
class LoadReport:
    """One sample of an endpoint's load, over all instances.

    Attributes:
        endpoint: The endpoint's id.
        running: Number of running requests.
        queued: Number of requests queued in its engine.
        cached_tokens: Tokens in its prefix cache.
        age_s: Seconds since the sample was taken.
    """

    endpoint: str
    running: int
    queued: int
    cached_tokens: int = 0
    age_s: float = 0.0
