"""The published size of a service's model engines."""

import attrs

__all__ = ["EngineProfile"]


@attrs.frozen
class EngineProfile:
    """The size of each engine of a service.

    Attributes:
        slots: The number of requests that run in one batch.
        cache_tokens: The capacity in tokens for running requests and cached
            prefixes together.
    """

    slots: int
    cache_tokens: int
