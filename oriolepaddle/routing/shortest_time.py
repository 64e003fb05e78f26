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
    """Ranks endpoints by a weighted cost in seconds.

    The total consists of queueing, prefill and the weighted decode time. Prefill that
    a cache could have saved (`Candidate.uncached_blocks_prefill_s`) has a high weight:
    it delays other requests and evicts their prefixes from the cache. A long prompt
    that is not known to be cached tends to go to its preferred endpoint, chosen by
    weighted rendezvous hashing. Instances agree on it unless an endpoint is near
    `MAX_PREFERRED_PREFILL_S`, so that the next request with this prefix finds it
    cached whichever instance receives it.

    Attributes:
        random: The source of randomness for ties.
        prefill_weight: Weight of prefill that a cache could have saved.
        preferred_prefill_weight: `prefill_weight` at the preferred endpoint; below 1,
            since the cached prefix saves later prefill, and above 0, so that another
            endpoint with the prefix cached is still chosen.
        decode_weight: Weight of the decode time.
        tie_margin_s: The choice is random among totals within this distance of the
            best.
    """

    random: random.Random
    prefill_weight: float = 9.0
    preferred_prefill_weight: float = 0.5
    decode_weight: float = 0.02
    tie_margin_s: float = 0.02

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return the scores of all candidates, the chosen one first."""
        preferred = _find_preferred(candidates)
        scores = [
            self._score(item, item.endpoint.id == preferred) for item in candidates
        ]
        scores.sort(key=lambda score: score.total_s)
        best_s = scores[0].total_s
        tie_count = sum(score.total_s <= best_s + self.tie_margin_s for score in scores)
        chosen_index = self.random.randrange(tie_count) if tie_count > 1 else 0
        scores[0], scores[chosen_index] = scores[chosen_index], scores[0]
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
    # Endpoints whose prefill of this prompt is slow are left out: the first request
    # with a prefix must not wait long. Prefill times are measured, so instances can
    # disagree on an endpoint near the limit.
    weights = {
        item.endpoint.id: _compute_rendezvous_weight(item.endpoint)
        for item in candidates
        if item.full_prefill_s <= MAX_PREFERRED_PREFILL_S
    }
    return find_preferred(candidates[0].request.prefix_hashes, weights)


def _compute_rendezvous_weight(endpoint: Endpoint) -> float:
    # Uses configured speeds instead of measured ones, so that all instances compute
    # the same weights.
    return endpoint.cache_tokens * math.sqrt(endpoint.prefill_tokens_per_s)
