"""A placed request."""

import attrs

from oriolepaddle.catalog import RegisteredEndpoint

__all__ = ["Choice"]


@attrs.frozen
class Choice:
    """An endpoint with what is expected of it.

    Attributes:
        endpoint: The endpoint.
        expected_s: Seconds until the first byte.
        uncached_tokens: Tokens of the prompt that it will have to read.
        is_blocked: Whether it could not be reached of late, like all others
            that might run the request.
        prefix_source: Another endpoint that likely holds the beginning of the prompt,
            or None.
    """

    endpoint: RegisteredEndpoint
    expected_s: float
    uncached_tokens: int
    is_blocked: bool = False
    prefix_source: RegisteredEndpoint | None = None
