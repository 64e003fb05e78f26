"""The placement of a request at an endpoint."""

import attrs

from oriolepaddle.catalog import RegisteredEndpoint

__all__ = ["Choice", "ExpectedWork"]


@attrs.define
class ExpectedWork:
    """What an expected time was derived from, at an endpoint that reports its pace.

    Not changed once made. It is not frozen, as one is made for each endpoint in each
    choice, and a frozen one takes three times as long to make.

    Attributes:
        expected_s: Expected seconds until the first byte.
        cost_s: Expected work of the request itself, in seconds at the usual pace; None
            for engines, whose work is counted in tokens.
        remaining_s: Expected work that is left at the endpoint, likewise.
        factor: Expected ratio of times there to those at the usual pace.
        pace: The pace factor of its last reading, or None if there was none.
        pace_age_s: The age of that reading in seconds, or None.
    """

    expected_s: float
    cost_s: float | None
    remaining_s: float | None
    factor: float
    pace: float | None = None
    pace_age_s: float | None = None


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
        work: What the expected time was derived from, if the endpoint reports its
            pace.
    """

    endpoint: RegisteredEndpoint
    expected_s: float
    uncached_tokens: int
    is_blocked: bool = False
    prefix_source: RegisteredEndpoint | None = None
    work: ExpectedWork | None = None
