"""What is published of a service's model engines."""

import attrs

__all__ = ["EngineProfile"]


@attrs.frozen
class EngineProfile:
    """The size of each engine of a service.

    Attributes:
        slots: Requests that run in one batch.
        cache_tokens: Tokens that running requests and cached prefixes share.
    """

    slots: int
    cache_tokens: int
