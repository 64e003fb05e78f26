"""Runs that failed at endpoints whose end may be seen later.

An endpoint that ends may keep its listener, be back at once at its address, or leave
its connections open. What its runs had in common is then known before it is known that
the endpoint has ended.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from oriolepaddle.crashes.keys import RequestKeys

__all__ = [
    "ActiveRun",
    "ActiveRuns",
    "FindEnd",
    "PendingRun",
    "PendingRuns",
    "RunningEndpoint",
]

MAX_PENDING_RUNS = 1024
DETECTION_S = 8.0
"""Time within which the list of endpoints shows that one has ended: three of its
heartbeats, and the delay of the list."""
SILENCE_S = 1.0
"""Time without an event after which a run may be one at an endpoint that has ended. An
endpoint may also be removed from the list while it serves its last requests."""


class RunningEndpoint(Protocol):
    """What identifies an endpoint that runs requests."""

    @property
    def incarnation(self) -> str:
        """The name of this incarnation of the endpoint."""
        ...


FindEnd = Callable[[RunningEndpoint], bool | None]
"""Returns whether an endpoint has ended; None if it leaves as planned."""


@attrs.frozen
class PendingRun:
    """A run that failed without a sign that its endpoint ended.

    Attributes:
        endpoint: The endpoint that ran it.
        keys: The keys of its request.
        failed_s: Monotonic time at which it failed or was given up.
        is_silent: Whether its connection held; nothing is recorded of it before its
            endpoint is known to have ended.
        has_begun: Whether its response had begun.
        has_event: Whether an event of its response had come.
    """

    endpoint: RunningEndpoint
    keys: RequestKeys
    failed_s: float
    is_silent: bool
    has_begun: bool
    has_event: bool


@attrs.frozen(eq=False)
class ActiveRun:
    """A run without an event so far.

    Attributes:
        endpoint: The endpoint that runs it.
        keys: The keys of its request.
        sent_s: Monotonic time before the request was sent.
        has_begun: Returns whether its response has begun.
    """

    endpoint: RunningEndpoint
    keys: RequestKeys
    sent_s: float
    has_begun: Callable[[], bool]


class ActiveRuns:
    """The active runs of an instance. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: set[ActiveRun] = set()

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: ActiveRun) -> None:
        """Add a run that starts."""
        self._runs.add(run)

    def discard(self, run: ActiveRun) -> None:
        """Remove a run that had an event, or ended."""
        self._runs.discard(run)

    def remove_ended(self, find_end: FindEnd, now_s: float) -> list[ActiveRun]:
        """Remove and return the runs that are silent at endpoints which have ended."""
        silent = [run for run in self._runs if now_s - run.sent_s >= SILENCE_S]
        ends = {run.endpoint.incarnation: run.endpoint for run in silent}
        ended = {name for name, endpoint in ends.items() if find_end(endpoint)}
        found = [run for run in silent if run.endpoint.incarnation in ended]
        self._runs.difference_update(found)
        return found


class PendingRuns:
    """The pending runs of an instance, of which the oldest are dropped.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._runs: deque[PendingRun] = deque(maxlen=MAX_PENDING_RUNS)

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: PendingRun) -> None:
        """Add a run that failed or was given up."""
        self._runs.append(run)

    def has_endpoint(self, incarnation: str) -> bool:
        """Return whether a run at an endpoint is pending."""
        return any(run.endpoint.incarnation == incarnation for run in self._runs)

    def remove_resolved(
        self, find_end: FindEnd, confirmed_s: float
    ) -> tuple[list[PendingRun], list[PendingRun]]:
        """Remove and return the runs whose endpoint has ended, and the other resolved.

        The others' endpoint leaves as planned, or is registered after the time within
        which its end would have been detected.

        Args:
            find_end: Returns whether an endpoint has ended.
            confirmed_s: Monotonic time at which the list of endpoints was confirmed.
        """
        ends = {run.endpoint.incarnation: run.endpoint for run in self._runs}
        found = {name: find_end(endpoint) for name, endpoint in ends.items()}
        ended, others, remaining = [], [], []
        for run in self._runs:
            has_ended = found[run.endpoint.incarnation]
            if has_ended:
                ended.append(run)
            elif has_ended is None or confirmed_s - run.failed_s >= DETECTION_S:
                others.append(run)
            else:
                remaining.append(run)
        self._runs = deque(remaining, maxlen=MAX_PENDING_RUNS)
        return ended, others
