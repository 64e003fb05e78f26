"""What operators may see of an endpoint's state at one instance."""

import attrs

__all__ = ["EndpointView"]


@attrs.frozen
class EndpointView:
    """An endpoint as one instance's router sees it.

    Attributes:
        in_flight: Estimated requests in flight, from all instances.
        is_failed: Whether it has failed and not succeeded since.
    """

    in_flight: float
    is_failed: bool
