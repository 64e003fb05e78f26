"""How many requests an endpoint has, as far as this instance can tell."""

import math
from collections import deque

from oriolepaddle.routing.load_report import LoadReport

__all__ = ["EndpointLoad"]

REPORT_MEMORY = 0.5
"""Time constant with which a report fades into the average of reports, as a
part of a request's time at the endpoint."""
UNSEEN_PART = 0.35
"""How far the other instances' unseen starts are taken to be like own ones."""
AVERAGE_WEIGHT = 0.2
MAX_HISTORY = 512


class EndpointLoad:
    """Own requests in flight, and the other instances' from late reports."""

    def __init__(self) -> None:
        self.own = 0
        self._own_history: deque[tuple[float, int]] = deque(maxlen=MAX_HISTORY)
        self._starts: deque[float] = deque(maxlen=MAX_HISTORY)
        self._sampled_s: float | None = None
        self._others = 0.0
        self._others_average = 0.0

    def start(self, now_s: float) -> None:
        """Count one more own request."""
        self.own += 1
        self._starts.append(now_s)
        self._own_history.append((now_s, self.own))

    def finish(self, now_s: float) -> None:
        """Count one own request less."""
        self.own -= 1
        self._own_history.append((now_s, self.own))

    def report(self, report: LoadReport, now_s: float) -> None:
        """Take in a report; one older than the last is dropped."""
        sampled_s = now_s - report.age_s
        if self._sampled_s is not None and sampled_s <= self._sampled_s:
            return
        total = report.running + report.queued
        self._others = max(0.0, float(total - self._own_at(sampled_s)))
        if self._sampled_s is None:
            self._others_average = self._others
        self._others_average += AVERAGE_WEIGHT * (self._others - self._others_average)
        self._sampled_s = sampled_s
        while self._starts and self._starts[0] <= sampled_s:
            self._starts.popleft()

    def forget(self) -> None:
        """Drop what was reported, after the endpoint has failed."""
        self._others = 0.0
        self._others_average = 0.0

    def estimate(self, now_s: float, instances: int, service_s: float) -> float:
        """Return the estimated requests in flight from all instances.

        Args:
            now_s: The present monotonic time.
            instances: Instances that share the endpoint, this one included.
            service_s: Seconds that a request takes there.
        """
        if self._sampled_s is None:
            return float(self.own * instances)
        age_s = max(0.0, now_s - self._sampled_s)
        trust = math.exp(-age_s / (REPORT_MEMORY * service_s))
        fading = trust * (self._others - self._others_average)
        others = max(0.0, self._others_average + fading)
        # The other instances see the same reports and choose alike: what this
        # one has started since the sample, they have in part started too.
        unseen = min(len(self._starts), self.own) * (instances - 1)
        return self.own + others + UNSEEN_PART * unseen

    def _own_at(self, sampled_s: float) -> int:
        count = self.own
        for changed_s, after in reversed(self._own_history):
            if changed_s <= sampled_s:
                return after
            count = after
        return 0 if self._own_history else count
