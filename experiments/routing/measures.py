"""What one run showed."""

import attrs

__all__ = ["FIRST_TOKEN_TARGET_S", "Measures"]

FIRST_TOKEN_TARGET_S = 1.5


@attrs.define
class Measures:
    """Counts and latencies of one run, of the requests after the warm-up.

    Attributes:
        first_token_s: Seconds to the first token, one for each answer.
        bound_s: The same, of bound requests by region.
        requests: Requests by organisation, all inside their rates.
        in_time: Those whose first token came in time, by organisation.
        refused: Refused requests by error code.
        failed: Requests that failed on all endpoints tried.
        sent_away: Requests that were sent to another data centre.
        outside_region: Requests served outside their regions of residency.
        passed_twice: Requests that were passed on more than once.
        busy_s: Seconds of all endpoints' time.
        computed_tokens: Prompt tokens that were computed.
    """

    first_token_s: list[float] = attrs.Factory(list)
    bound_s: dict[str, list[float]] = attrs.Factory(dict)
    requests: dict[str, int] = attrs.Factory(dict)
    in_time: dict[str, int] = attrs.Factory(dict)
    refused: dict[str, int] = attrs.Factory(dict)
    failed: int = 0
    sent_away: int = 0
    outside_region: int = 0
    passed_twice: int = 0
    busy_s: float = 0.0
    computed_tokens: float = 0.0

    @property
    def total(self) -> int:
        """Requests of all organisations."""
        return sum(self.requests.values())

    @property
    def worst_served(self) -> float:
        """The lowest part of an organisation's requests answered in time."""
        return min(
            self.in_time.get(name, 0) / count for name, count in self.requests.items()
        )
