"""What endpoints publish of their prefix caches."""

import attrs

__all__ = ["CacheEvents"]


@attrs.frozen
class CacheEvents:
    """One batch of changes to an endpoint's prefix cache.

    Attributes:
        endpoint: The endpoint's id.
        epoch: Changes when the engine restarts, and with it its cache.
        sequence: Grows by one with each batch of an epoch.
        stored: Hashes of blocks put into the cache.
        evicted: Hashes of blocks dropped from it.
        age_s: Seconds since the changes were made.
    """

    endpoint: str
    epoch: int
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    age_s: float = 0.0
