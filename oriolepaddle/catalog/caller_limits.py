"""Limits on callers' connections."""

from datetime import timedelta

import attrs

__all__ = ["CallerLimits"]


@attrs.frozen
class CallerLimits:
    """Limits on callers' connections and requests, set in the published document.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers together.
        max_body_bytes: Maximum size of a request's body.
        header_timeout: Time in which the headers must be received.
        idle_timeout: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)
