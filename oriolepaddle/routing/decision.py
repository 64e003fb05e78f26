"""The router's choice for one request."""

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.score import Score

__all__ = ["Decision"]


@attrs.frozen
class Decision:
    """Where a request goes; exactly one of both targets is set.

    Attributes:
        endpoint: The local endpoint that runs it, or None.
        data_centre: The data centre that it is sent away to, or None.
        scores: All that were compared, best first.
    """

    endpoint: Endpoint | None
    data_centre: str | None
    scores: tuple[Score, ...]
