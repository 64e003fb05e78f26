"""The default choice: the shortest expected time."""

import math
import random
from collections.abc import Sequence

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.home import find_home
from oriolepaddle.routing.score import Score

__all__ = ["ShortestTimePolicy"]

HOME_PREFILL_S = 3.0
"""The longest prefill of a whole prompt for which an endpoint can be its home."""


@attrs.frozen
class ShortestTimePolicy:
    """Prefers the endpoint where the request costs the least time.

    The total is queueing, prefill, and a part of the decode time. Prefill that
    a cache could have saved counts several times: it delays others and drops
    their prefixes from the cache. A long prompt that is not known to be cached
    goes rather to its home, an endpoint on which all instances agree by
    weighted rendezvous hashing, so that its next request finds it cached
    whichever instance it comes through.

    Attributes:
        random: The source of randomness for ties.
        prefill_weight: How much a second of prefill counts that a cache could
            have saved.
        preferred_prefill_weight: The same at the home; below 1, as it is an
            investment, and above 0, so that a cached copy elsewhere is used.
        decode_weight: How much a second of decode counts.
        tie_s: Totals this close to the best one are chosen from at random.
    """

    random: random.Random
    prefill_weight: float = 9.0
    preferred_prefill_weight: float = 0.5
    decode_weight: float = 0.02
    tie_s: float = 0.02

    def rank(self, candidates: Sequence[Candidate]) -> tuple[Score, ...]:
        """Return a score of each candidate, best first."""
        home = _find_home(candidates)
        scores = [self._score(item, item.endpoint.id == home) for item in candidates]
        scores.sort(key=lambda score: score.total_s)
        best_s = scores[0].total_s
        ties = sum(score.total_s <= best_s + self.tie_s for score in scores)
        chosen = self.random.randrange(ties) if ties > 1 else 0
        scores[0], scores[chosen] = scores[chosen], scores[0]
        return tuple(scores)

    def _score(self, candidate: Candidate, is_home: bool) -> Score:
        weight = self.preferred_prefill_weight if is_home else self.prefill_weight
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
                + (weight - 1.0) * candidate.missing_blocks_s
                + self.decode_weight * decode_s
            ),
        )


def _find_home(candidates: Sequence[Candidate]) -> str | None:
    # The first request of a document must not wait long for its prefill.
    weights = {
        item.endpoint.id: _weigh(item.endpoint)
        for item in candidates
        if item.whole_prefill_s <= HOME_PREFILL_S
    }
    return find_home(candidates[0].request.prefix_hashes, weights)


def _weigh(endpoint: Endpoint) -> float:
    # Published speeds weigh here, not measured ones: all instances must agree.
    return endpoint.cache_tokens * math.sqrt(endpoint.prefill_tokens_per_s)
