"""Events that endpoints publish about their prefix caches."""

import attrs

__all__ = ["CacheEvents"]


@attrs.frozen
class CacheEvents:
    """One batch of changes to an endpoint's prefix cache.

    Attributes:
        endpoint: The endpoint's id.
        epoch: Changes when the engine restarts, which clears its cache.
        sequence: Increases by one with each batch of an epoch.
        stored: Hashes of blocks added to the cache.
        evicted: Hashes of blocks removed from it.
        age_s: Seconds since the changes occurred.
    """

    endpoint: str
    epoch: int
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    age_s: float = 0.0
