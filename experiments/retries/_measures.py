"""The measures of one simulation."""

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from experiments.retries._request import Request

__all__ = ["Measures"]

MAX_LATENCY_US = 60_000_000
MIN_REQUESTS_OF_ORGANISATION = 30
US_PER_S = 1_000_000


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@attrs.define
class Measures:
    """Counts of one simulation; those of requests leave out crashing requests.

    Attributes:
        requests: Requests by organisation.
        answered: Answered requests by organisation.
        retries: Attempts that the retry policy added.
        hedges: Attempts that hedging added.
        harmless_refused: Harmless requests refused by the quarantine.
        harmless_delayed: Harmless requests delayed by the quarantine.
        delay_s: Sum of these delays, in seconds.
        delayed_unanswered: Delayed harmless requests that were not answered.
        busy_s: Busy time of all endpoints, in seconds.
        crashes: Number of crashes by crashing request.
    """

    requests: Counter = attrs.Factory(Counter)
    answered: Counter = attrs.Factory(Counter)
    retries: int = 0
    hedges: int = 0
    harmless_refused: int = 0
    harmless_delayed: int = 0
    delay_s: float = 0.0
    delayed_unanswered: int = 0
    busy_s: float = 0.0
    crashes: Counter = attrs.Factory(Counter)
    _latencies: HdrHistogram = attrs.Factory(_make_histogram)

    def record_end(self, request: Request, now_s: float, is_answered: bool) -> None:
        """Record the end of a request."""
        if request.is_crasher:
            return
        self.requests[request.organisation] += 1
        if request.waited_s > 0:
            self.harmless_delayed += 1
            self.delay_s += request.waited_s
            self.delayed_unanswered += not is_answered
        if is_answered:
            self.answered[request.organisation] += 1
            latency_us = int((now_s - request.arrived_s) * US_PER_S)
            self._latencies.record_value(min(MAX_LATENCY_US, max(1, latency_us)))

    @property
    def added_share(self) -> float:
        """Attempts added, as a share of the requests."""
        return (self.retries + self.hedges) / self.requests.total()

    @property
    def success_share(self) -> float:
        """Share of the requests that were answered."""
        return self.answered.total() / self.requests.total()

    @property
    def worst_share(self) -> float:
        """Success share of the worst-served organisation with enough requests."""
        return min(
            self.answered[organisation] / count
            for organisation, count in self.requests.items()
            if count >= MIN_REQUESTS_OF_ORGANISATION
        )

    @property
    def p99_s(self) -> float:
        """99th percentile of the answered requests' latency, in seconds."""
        return self._latencies.get_value_at_percentile(99) / US_PER_S

    @property
    def busy_per_answer_s(self) -> float:
        """Busy endpoint time per answered request, in seconds."""
        return self.busy_s / max(1, self.answered.total())

    @property
    def crashes_per_crasher(self) -> float:
        """Mean number of crashes per crashing request."""
        return sum(self.crashes.values()) / max(1, len(self.crashes))
