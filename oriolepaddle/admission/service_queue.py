"""The requests of one service that wait at an instance."""

import attrs

from oriolepaddle.admission.due_queue import DueQueue

__all__ = ["MAX_LENGTH", "ServiceQueue"]

TARGET_MEMORY_S = 5.0
"""Time after its last request for which a target counts."""
MAX_LENGTH = 64
"""Waiting requests of a service at one instance. Each holds a thread and its body."""


@attrs.define
class ServiceQueue:
    """The waiting requests of one service, and what tells how long they wait.

    Not thread-safe.

    Attributes:
        queue: The waiting requests.
        targets: When a request with each target was last seen, in monotonic seconds.
        last_wait_s: How long the request that left last had waited.
        last_left_s: Monotonic time at which it left.
        window: Number of requests that may wait: one after a request was refused at
            its latest start, and one more after each that was sent.
    """

    queue: DueQueue = attrs.Factory(DueQueue)
    targets: dict[float, float] = attrs.Factory(dict)
    last_wait_s: float = 0.0
    last_left_s: float = float("-inf")
    window: int = MAX_LENGTH

    def note_target(self, target_s: float, now_s: float) -> float:
        """Record a request's target and return the shortest recent one."""
        self.targets[target_s] = now_s
        for target, seen_s in list(self.targets.items()):
            if now_s - seen_s > TARGET_MEMORY_S:
                del self.targets[target]
        return min(self.targets)

    def shortest_target_s(self) -> float:
        """Return the shortest recent target; 0 if none is known."""
        return min(self.targets, default=0.0)

    def forecast_s(self, now_s: float) -> float:
        """Return the expected wait of a request that enters now.

        The instances of a region start requests in about the same order, so the wait
        of the one that left last, and the age of the oldest one, tell how long the
        queue of the region is. It shrinks by at most a second in a second.
        """
        oldest_s = self.queue.oldest_entry_s()
        age_s = 0.0 if oldest_s is None else now_s - oldest_s
        return max(age_s, self.last_wait_s - (now_s - self.last_left_s))
