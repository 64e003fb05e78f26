"""What operators allow callers' connections."""

from datetime import timedelta

import attrs

__all__ = ["CallerLimits"]


@attrs.frozen
class CallerLimits:
    """Bounds on what callers send; the published document carries them.

    Attributes:
        max_header_bytes: The request line and headers together.
        max_body_bytes: One request's body.
        header_timeout: The time in which a header must arrive.
        idle_timeout: How long a connection without a request is kept.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)
