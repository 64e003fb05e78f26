"""The state of an endpoint as shown to operators."""

import attrs

__all__ = ["EndpointView"]


@attrs.frozen
class EndpointView:
    """An endpoint as one instance's router sees it.

    Attributes:
        in_flight: Estimated requests in flight, from all instances.
        is_failed: Whether it has failed and has not succeeded since.
    """

    in_flight: float
    is_failed: bool
