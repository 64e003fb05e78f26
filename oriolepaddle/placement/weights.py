"""What counts beside the time to the first byte."""

import attrs

__all__ = ["PlacementWeights"]


@attrs.frozen
class PlacementWeights:
    """How much the placer minds the streams at an endpoint.

    Attributes:
        stream: Weight of the time that a request's own stream would last.
        interference: Weight of the time by which its prompt holds up each of the
            requests there.
    """

    stream: float = 0.05
    interference: float = 0.02
