"""The default policy: the shortest expected time."""

import math
import random
from collections.abc import Sequence

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.preferred import find_preferred
from oriolepaddle.routing.score import Score

__all__ = ["ShortestTimePolicy"]

MAX_PREFERRED_PREFILL_S = 3.0
"""Maximum prefill time of a whole prompt at its preferred endpoint."""


@attrs.frozen
class ShortestTimePolicy:
    """Ranks endpoints by the time that the request would cost.

    The total consists of queueing, prefill and a weighted part of the decode time.
    Prefill that a cache could have saved has a high weight: it delays other requests
    and evicts their prefixes from the cache. A long prompt that is not known to be
    cached tends to go to its preferred endpoint, on which all instances agree by
    weighted rendezvous hashing, so that the next request with this prefix finds it
    cached whichever instance receives it.

    Attributes:
        random: The source of randomness for ties.
        prefill_weight: Weight of prefill that a cache could have saved.
        preferred_prefill_weight: The same at the preferred endpoint; below 1, as
            the cached prefix saves later prefill, and above 0, so that a cached copy
            elsewhere is used.
        decode_weight: Weight of the decode time.
        tie_s: The choice is random among totals within this distance of the best.
    """

    random: random.Random
    prefill_weight: float = 9.0
    preferred_prefill_weight: float = 0.5
    decode_weight: float = 0.02
    tie_s: float = 0.02

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return the scores of all candidates, best first."""
        preferred = _find_preferred(candidates)
        scores = [
            self._score(item, item.endpoint.id == preferred) for item in candidates
        ]
        scores.sort(key=lambda score: score.total_s)
        best_s = scores[0].total_s
        ties = sum(score.total_s <= best_s + self.tie_s for score in scores)
        chosen = self.random.randrange(ties) if ties > 1 else 0
        scores[0], scores[chosen] = scores[chosen], scores[0]
        return tuple(scores)

    def _score(self, candidate: Candidate, is_preferred: bool) -> Score:
        weight = self.preferred_prefill_weight if is_preferred else self.prefill_weight
        speed = candidate.tracker.decode_tokens_per_s.value
        decode_s = candidate.request.output_tokens / speed
        return Score(
            target=candidate.endpoint.id,
            queueing_s=candidate.queueing_s,
            prefill_s=candidate.prefill_s,
            cached_tokens=candidate.cached_tokens,
            delay_s=0.0,
            total_s=(
                candidate.queueing_s
                + candidate.prefill_s
                + (weight - 1.0) * candidate.uncached_blocks_prefill_s
                + self.decode_weight * decode_s
            ),
        )


def _find_preferred(candidates: Sequence[Candidate]) -> str | None:
    # Endpoints with slow prefill are left out: the first request of a document must
    # not wait long.
    weights = {
        item.endpoint.id: _compute_weight(item.endpoint)
        for item in candidates
        if item.full_prefill_s <= MAX_PREFERRED_PREFILL_S
    }
    return find_preferred(candidates[0].request.prefix_hashes, weights)


def _compute_weight(endpoint: Endpoint) -> float:
    # Uses configured speeds instead of measured ones, as all instances must agree.
    return endpoint.cache_tokens * math.sqrt(endpoint.prefill_tokens_per_s)
