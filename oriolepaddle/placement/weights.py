"""Weights of the placement cost terms beside the time to the first byte."""

import attrs

__all__ = ["PlacementWeights"]


@attrs.frozen
class PlacementWeights:
    """Weights of the cost terms for streams at an endpoint.

    Attributes:
        stream: Weight of the expected duration of the request's own stream.
        interference: Weight of the time by which the prefill of its prompt delays the
            other requests there, summed over them.
    """

    stream: float = 0.05
    interference: float = 0.02
