"""Runs without a response, whose endpoints may have ended unseen."""

from collections import deque
from collections.abc import Callable

import attrs

from oriolepaddle.crashes.keys import RequestKeys

__all__ = ["SilentRun", "SilentRuns"]

MAX_SILENT_RUNS = 1024
DETECTION_S = 8.0
"""Time within which the list of endpoints shows that a silent one has ended: three of
its heartbeats, and the delay of the list."""


@attrs.frozen
class SilentRun:
    """A run that got no complete response while its connection held.

    Attributes:
        endpoint_id: The id of the endpoint.
        incarnation: The incarnation of the endpoint that ran it.
        keys: The keys of its request.
        ended_s: Monotonic time at which the run was given up.
    """

    endpoint_id: str
    incarnation: str
    keys: RequestKeys
    ended_s: float


class SilentRuns:
    """The silent runs of an instance, of which the oldest are dropped.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._runs: deque[SilentRun] = deque(maxlen=MAX_SILENT_RUNS)

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: SilentRun) -> None:
        """Add a run that was given up."""
        self._runs.append(run)

    def remove_ended(
        self, find_incarnation: Callable[[str], str | None], now_s: float
    ) -> list[SilentRun]:
        """Remove and return the runs whose endpoint has ended.

        Those whose endpoint outlived the time of detection are removed too.
        """
        ended, remaining = [], []
        for run in self._runs:
            if find_incarnation(run.endpoint_id) != run.incarnation:
                ended.append(run)
            elif now_s - run.ended_s < DETECTION_S:
                remaining.append(run)
        self._runs = deque(remaining, maxlen=MAX_SILENT_RUNS)
        return ended
