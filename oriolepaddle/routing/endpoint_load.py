"""Estimates the number of requests in flight at an endpoint."""

import math
from collections import deque

from oriolepaddle.routing.load_report import LoadReport

__all__ = ["EndpointLoad"]

REPORT_DECAY_FACTOR = 0.5
"""Time constant with which the weight of the last report decays in favour of the
average of reports, as a fraction of a request's service time."""
UNREPORTED_START_FACTOR = 0.35
"""Assumed ratio of each other instance's starts since the last report to own ones."""
REPORT_AVERAGE_WEIGHT = 0.2
MAX_HISTORY_LENGTH = 512


class EndpointLoad:
    """Counts own requests and estimates the other instances' from delayed reports."""

    def __init__(self) -> None:
        self.own_requests = 0
        self._own_history: deque[tuple[float, int]] = deque(maxlen=MAX_HISTORY_LENGTH)
        self._starts: deque[float] = deque(maxlen=MAX_HISTORY_LENGTH)
        self._sampled_s: float | None = None
        self._other_requests = 0.0
        self._other_requests_average = 0.0

    def start(self, now_s: float) -> None:
        """Record the start of an own request."""
        self.own_requests += 1
        self._starts.append(now_s)
        self._own_history.append((now_s, self.own_requests))

    def finish(self, now_s: float) -> None:
        """Record the end of an own request."""
        self.own_requests -= 1
        self._own_history.append((now_s, self.own_requests))

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a report; one sampled before the last one is ignored."""
        sampled_s = now_s - report.age_s
        if self._sampled_s is not None and sampled_s <= self._sampled_s:
            return
        total = report.running + report.queued
        self._other_requests = max(0.0, float(total - self._own_requests_at(sampled_s)))
        if self._sampled_s is None:
            self._other_requests_average = self._other_requests
        self._other_requests_average += REPORT_AVERAGE_WEIGHT * (
            self._other_requests - self._other_requests_average
        )
        self._sampled_s = sampled_s
        while self._starts and self._starts[0] <= sampled_s:
            self._starts.popleft()

    def clear_reports(self) -> None:
        """Reset the reported requests, after the endpoint has failed."""
        self._other_requests = 0.0
        self._other_requests_average = 0.0

    def estimate(self, now_s: float, instances: int, service_s: float) -> float:
        """Return the estimated requests in flight from all instances.

        Args:
            now_s: Monotonic seconds.
            instances: Instances that share the endpoint, this one included.
            service_s: Average seconds that a request takes there.
        """
        if self._sampled_s is None:
            return float(self.own_requests * instances)
        age_s = max(0.0, now_s - self._sampled_s)
        report_weight = math.exp(-age_s / (REPORT_DECAY_FACTOR * service_s))
        deviation = report_weight * (
            self._other_requests - self._other_requests_average
        )
        others = max(0.0, self._other_requests_average + deviation)
        # The other instances get the same reports and make similar choices: since
        # the sample they have probably started some requests too.
        unreported = min(len(self._starts), self.own_requests) * (instances - 1)
        return self.own_requests + others + UNREPORTED_START_FACTOR * unreported

    def _own_requests_at(self, sampled_s: float) -> int:
        count = self.own_requests
        for changed_s, after in reversed(self._own_history):
            if changed_s <= sampled_s:
                return after
            count = after
        return 0 if self._own_history else count
