"""A latency histogram with quantiles."""

from hdrh.histogram import HdrHistogram

__all__ = ["Latencies"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class Latencies:
    """A histogram of latencies in seconds, with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """The number of samples."""
        return self._histogram.get_total_count()

    def add(self, latency_s: float) -> None:
        """Add a sample."""
        self._histogram.record_value(max(LOWEST_US, int(latency_s * 1e6)))

    def merge(self, samples_s: list[float]) -> None:
        """Add all of the given samples."""
        for latency_s in samples_s:
            self.add(latency_s)

    def quantile_s(self, percent: float) -> float:
        """Return a percentile, 0 to 100, of the latencies."""
        return self._histogram.get_value_at_percentile(percent) / 1e6
