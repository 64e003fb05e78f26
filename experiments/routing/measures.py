"""The measures of one run."""

import attrs

__all__ = ["FIRST_TOKEN_TARGET_S", "Measures"]

FIRST_TOKEN_TARGET_S = 1.5


@attrs.define
class Measures:
    """Counts and latencies of the requests of one run after the warm-up.

    Attributes:
        first_token_s: Seconds to the first token, one for each answer.
        residency_first_token_s: The same for requests of organisations with a
            residency, by region.
        requests: Requests by organisation, all within their rate limits.
        in_time: Requests with the first token within the target, by organisation.
        refused: Refused requests by error code.
        failed: Requests that failed on every endpoint attempted.
        forwarded: Requests that were forwarded to another data centre.
        outside_residency: Requests served outside their regions of residency.
        forwarded_twice: Requests that were forwarded more than once.
        busy_s: Busy time of all endpoints, in seconds.
        computed_tokens: Prompt tokens that were computed.
    """

    first_token_s: list[float] = attrs.Factory(list)
    residency_first_token_s: dict[str, list[float]] = attrs.Factory(dict)
    requests: dict[str, int] = attrs.Factory(dict)
    in_time: dict[str, int] = attrs.Factory(dict)
    refused: dict[str, int] = attrs.Factory(dict)
    failed: int = 0
    forwarded: int = 0
    outside_residency: int = 0
    forwarded_twice: int = 0
    busy_s: float = 0.0
    computed_tokens: float = 0.0

    @property
    def total(self) -> int:
        """Requests of all organisations."""
        return sum(self.requests.values())

    @property
    def worst_served(self) -> float:
        """The lowest share of an organisation's requests with a first token in time."""
        return min(
            self.in_time.get(name, 0) / count for name, count in self.requests.items()
        )
