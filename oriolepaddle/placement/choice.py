"""The placement of a request at an endpoint."""

import attrs

from oriolepaddle.catalog import RegisteredEndpoint

__all__ = ["Choice"]


@attrs.frozen
class Choice:
    """The chosen endpoint and its expected performance.

    Attributes:
        endpoint: The endpoint.
        expected_s: Expected seconds until the first byte.
        uncached_tokens: Prompt tokens to prefill that are not expected in its cache.
        is_blocked: Whether it was recently unreachable or is silent; it is chosen
            only if this holds for every endpoint that could run the request.
        prefix_source: Another endpoint that is likely to have the prompt's prefix
            cached, or None.
    """

    endpoint: RegisteredEndpoint
    expected_s: float
    uncached_tokens: int
    is_blocked: bool = False
    prefix_source: RegisteredEndpoint | None = None
