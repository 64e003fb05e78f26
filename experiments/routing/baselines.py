"""Baseline routing policies."""

import random
from collections.abc import Sequence

from oriolepaddle.routing import Candidate, Score

__all__ = [
    "LeastOutstandingPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "TwoChoicesPolicy",
]


def _make_scores(order: Sequence[Candidate]) -> tuple[Score, ...]:
    # Without an estimate, a request is forwarded only when no endpoint is left.
    return tuple(
        Score(item.endpoint.id, 0.0, 0.0, item.cached_tokens, 0.0, float(rank))
        for rank, item in enumerate(order)
    )


class RandomPolicy:
    """Ranks endpoints at random."""

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return the candidates in random order."""
        return _make_scores(self._random.sample(candidates, len(candidates)))


class RoundRobinPolicy:
    """Ranks endpoints in turn."""

    def __init__(self, source: random.Random) -> None:
        self._next = source.randrange(1000)

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return the candidates, rotated to begin with the next in turn."""
        self._next += 1
        start = self._next % len(candidates)
        return _make_scores([*candidates[start:], *candidates[:start]])


class LeastOutstandingPolicy:
    """Ranks endpoints by the router's own requests in flight."""

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return the candidates by own requests in flight, ties at random."""
        shuffled = self._random.sample(candidates, len(candidates))
        return _make_scores(
            sorted(shuffled, key=lambda item: item.tracker.load.own_requests)
        )


class TwoChoicesPolicy:
    """Ranks two random endpoints by the router's own requests in flight."""

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return two random candidates, the less loaded one first."""
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return _make_scores(
            sorted(pair, key=lambda item: item.tracker.load.own_requests)
        )
