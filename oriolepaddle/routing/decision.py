"""The router's choice for one request."""

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.score import Score

__all__ = ["Decision"]


@attrs.frozen
class Decision:
    """The target of a request; exactly one of both targets is set.

    Attributes:
        endpoint: The local endpoint that runs it, or None.
        data_centre: The data centre that it is forwarded to, or None.
        scores: The scores of all compared targets, best first; empty if no load of
            the chosen data centre is known.
    """

    endpoint: Endpoint | None
    data_centre: str | None
    scores: tuple[Score, ...]
