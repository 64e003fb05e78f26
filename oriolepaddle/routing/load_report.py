"""What endpoints report of their load."""

import attrs

__all__ = ["LoadReport"]


@attrs.frozen
class LoadReport:
    """One sample of an endpoint's load, over all instances.

    Attributes:
        endpoint: The endpoint's id.
        running: Requests that it runs.
        queued: Requests that wait in its engine.
        cached_tokens: Tokens in its prefix cache.
        age_s: Seconds since the sample was taken.
    """

    endpoint: str
    running: int
    queued: int
    cached_tokens: int = 0
    age_s: float = 0.0
