"""Interface of the policies that rank endpoints."""

from collections.abc import Sequence
from typing import Protocol

from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.score import Score

__all__ = ["EndpointPolicy"]


class EndpointPolicy(Protocol):
    """Ranks the endpoints that may run a request."""

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return a score of each candidate, the chosen one first.

        Args:
            candidates: Usable endpoints, at least one.
        """
        ...
