"""The requests of one service that wait at an instance."""

import math

import attrs

from oriolepaddle.admission.due_queue import DueQueue

__all__ = ["MAX_LENGTH", "ServiceQueue"]

TARGET_MEMORY_S = 5.0
"""Time constant with which requests of a target are forgotten."""
MIN_PROTECTED_FRACTION = 0.2
"""Requests of a target for which others wait, as a fraction of those others. The
engines idle a little more while others wait, which a few requests are not worth."""
MIN_COUNT = 0.05
"""Count at which a target is dropped: three time constants after its last request."""
MAX_LENGTH = 64
"""Waiting requests of a service at one instance. Each holds a thread and its body."""


@attrs.define
class _TargetCount:
    """How many requests of a target arrived recently.

    Attributes:
        count: Their number, decayed.
        updated_s: Monotonic time as of which it is decayed.
    """

    count: float
    updated_s: float

    def read(self, now_s: float) -> float:
        """Return the number at a time."""
        return self.count * math.exp((self.updated_s - now_s) / TARGET_MEMORY_S)


@attrs.define
class ServiceQueue:
    """The waiting requests of one service, and what tells how long they wait.

    Not thread-safe.

    Attributes:
        queue: The waiting requests.
        targets: How many requests had each target, in seconds, recently.
        last_wait_s: How long the request that left last had waited.
        last_left_s: Monotonic time at which it left.
        window: Number of requests that may wait: one after a request was refused at
            its latest start, and one more after each that was sent.
    """

    queue: DueQueue = attrs.Factory(DueQueue)
    targets: dict[float, _TargetCount] = attrs.Factory(dict)
    last_wait_s: float = 0.0
    last_left_s: float = float("-inf")
    window: int = MAX_LENGTH

    def note_target(self, target_s: float, now_s: float) -> None:
        """Record the target of a request."""
        known = self.targets.get(target_s)
        count = 1.0 + (known.read(now_s) if known else 0.0)
        self.targets[target_s] = _TargetCount(count, now_s)
        for target, counted in list(self.targets.items()):
            if counted.read(now_s) < MIN_COUNT:
                del self.targets[target]

    def find_shortest_s(self, target_s: float, now_s: float) -> float:
        """Return the shortest target that enough requests have.

        Args:
            target_s: The target of the requests that are to wait for others; it is
                returned if there are too few of those.
            now_s: Monotonic seconds.
        """
        own = self.targets.get(target_s)
        min_count = MIN_PROTECTED_FRACTION * own.read(now_s) if own else 0.0
        return min(
            (
                target
                for target, counted in self.targets.items()
                if target < target_s and counted.read(now_s) >= min_count
            ),
            default=target_s,
        )

    def forecast_s(self, now_s: float) -> float:
        """Return the expected wait of a request that enters now.

        The instances of a region start requests in about the same order, so the wait
        of the one that left last, and the age of the oldest one, tell how long the
        queue of the region is. It shrinks by at most a second in a second.
        """
        oldest_s = self.queue.oldest_entry_s()
        age_s = 0.0 if oldest_s is None else now_s - oldest_s
        return max(age_s, self.last_wait_s - (now_s - self.last_left_s))
