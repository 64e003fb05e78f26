"""What counts beside the time to the first byte."""

import attrs

__all__ = ["PlacingWeights"]


@attrs.frozen
class PlacingWeights:
    """How much the placer minds the streams at an endpoint.

    Attributes:
        stream: Weight of the time that a request's own stream would last.
        disturbance: Weight of the time by which its prompt holds up each of the
            requests there.
    """

    stream: float = 0.05
    disturbance: float = 0.02
