"""Hedging: a second try of a request that takes long, within a budget."""

from hdrh.histogram import HdrHistogram

__all__ = ["Hedging"]

UPDATE_INTERVAL = 100
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000


class Hedging:
    """Allows a second try after a percentile of the latency.

    Args:
        ratio: Second tries that each answer allows.
        percentile: The percentile of the latency to wait for, 0 to 100.
        cap: The most second tries that can be saved up.
    """

    def __init__(self, ratio: float, percentile: float, cap: float = 10.0) -> None:
        self._ratio = ratio
        self._percentile = percentile
        self._cap = cap
        self._tokens = 0.0
        self._delay_s: float | None = None
        self._latencies = HdrHistogram(1, MAX_LATENCY_US, 2)

    def answered(self, latency_s: float) -> None:
        """Count an answer and its latency."""
        self._tokens = min(self._cap, self._tokens + self._ratio)
        self._latencies.record_value(min(MAX_LATENCY_US, int(latency_s * US_PER_S)))
        count = self._latencies.get_total_count()
        if count % UPDATE_INTERVAL == 0:
            value_us = self._latencies.get_value_at_percentile(self._percentile)
            self._delay_s = value_us / US_PER_S

    def find_delay_s(self) -> float | None:
        """Return after how many seconds to try a second time, or None."""
        return self._delay_s

    def may_hedge(self) -> bool:
        """Take a token if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
