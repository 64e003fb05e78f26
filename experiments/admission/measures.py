"""Counts and latencies of one simulation."""

import attrs

__all__ = ["Measures"]


@attrs.define
class Measures:
    """Counts and latencies of one simulation, without its warm-up.

    Requests, refusals and first tokens count if the request arrived after the
    warm-up; served and late tokens if the answer was complete after it.

    Attributes:
        requested_tokens: Output tokens of all requests, by organisation.
        served_tokens: Output tokens of answers in time, by organisation.
        late_tokens: Output tokens of answers after their deadlines.
        first_token_s: Time to the first token of each answer, in seconds.
        requests: Number of requests.
        refused: Refused requests by error code.
        capacity_tokens: Output tokens that all slots can decode in the measured time.
    """

    requested_tokens: dict[str, float] = attrs.Factory(dict)
    served_tokens: dict[str, float] = attrs.Factory(dict)
    late_tokens: float = 0.0
    first_token_s: list[float] = attrs.Factory(list)
    requests: int = 0
    refused: dict[str, int] = attrs.Factory(dict)
    capacity_tokens: float = 0.0

    def served_ratio(self, organisation: str) -> float:
        """Return the ratio of an organisation's served tokens to its fair share."""
        fair_tokens = self._find_max_min_shares()[organisation]
        return self.served_tokens.get(organisation, 0.0) / fair_tokens

    def _find_max_min_shares(self) -> dict[str, float]:
        # Max-min fairness: no organisation gets more than it requested, and the rest
        # is divided among the others.
        fair_tokens: dict[str, float] = {}
        remaining_tokens = self.capacity_tokens
        smallest_first = sorted(self.requested_tokens, key=self.requested_tokens.get)
        for rank, name in enumerate(smallest_first):
            equal_tokens = remaining_tokens / (len(smallest_first) - rank)
            fair_tokens[name] = min(self.requested_tokens[name], equal_tokens)
            remaining_tokens -= fair_tokens[name]
        return fair_tokens
