"""Hedging: a second attempt for slow requests, within a budget."""

from hdrh.histogram import HdrHistogram

__all__ = ["Hedging"]

UPDATE_INTERVAL_ANSWERS = 100
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000


class Hedging:
    """Allows a second attempt after a percentile of the latency.

    Args:
        ratio: Second attempts that each answer adds to the budget.
        percentile: The percentile of the latency after which to hedge, 0 to 100.
        cap: The largest budget, in second attempts.
    """

    def __init__(self, ratio: float, percentile: float, cap: float = 10.0) -> None:
        self._ratio = ratio
        self._percentile = percentile
        self._cap = cap
        self._tokens = 0.0
        self._delay_s: float | None = None
        self._latencies = HdrHistogram(1, MAX_LATENCY_US, 2)

    def record_answer(self, latency_s: float) -> None:
        """Record the latency of an answer and add to the budget."""
        self._tokens = min(self._cap, self._tokens + self._ratio)
        self._latencies.record_value(min(MAX_LATENCY_US, int(latency_s * US_PER_S)))
        count = self._latencies.get_total_count()
        if count % UPDATE_INTERVAL_ANSWERS == 0:
            value_us = self._latencies.get_value_at_percentile(self._percentile)
            self._delay_s = value_us / US_PER_S

    def find_delay_s(self) -> float | None:
        """Return the delay before the second attempt in seconds, or None."""
        return self._delay_s

    def try_acquire_token(self) -> bool:
        """Acquire a token from the budget; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
