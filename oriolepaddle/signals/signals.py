"""The signals of one answer."""

from datetime import timedelta

import attrs

__all__ = ["EndpointSignals"]


@attrs.frozen
class EndpointSignals:
    """What an answer says of its endpoint.

    Attributes:
        limit_per_s: The requests a second that the endpoint takes from all instances
            together, or None if it names no limit.
        retry_after: Time for which the endpoint, which has refused a request, wants
            nothing from this instance, or None if it names none.
        is_leaving: Whether the endpoint will end and wants no more requests.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after: timedelta | None = None
