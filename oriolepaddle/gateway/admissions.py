"""The admission queues, one for each route."""

import threading

from oriolepaddle.admission import Admission, Aim
from oriolepaddle.clock import Clock
from oriolepaddle.routing import Router

__all__ = ["RouteAdmissions"]


class RouteAdmissions:
    """Creates the admission queue of a route at its first request.

    Args:
        clock: The clock of the queues.
        router: Returns how many requests of a route may run at a time.
        aim: What the order of waiting requests optimises.
    """

    def __init__(self, clock: Clock, router: Router, aim: Aim) -> None:
        self._clock = clock
        self._router = router
        self._aim = aim
        self._lock = threading.Lock()
        self._queues: dict[str, Admission] = {}

    def queue_for(self, route: str) -> Admission:
        """Return the queue of a route."""
        with self._lock:
            queue = self._queues.get(route)
            if queue is None:
                queue = Admission(
                    self._clock,
                    lambda: self._router.concurrency_limit(route),
                    self._aim,
                )
                self._queues[route] = queue
            return queue

    def capacity_changed(self) -> None:
        """Admit waiting requests after a load report or a ticket changed the limits."""
        with self._lock:
            queues = list(self._queues.values())
        for queue in queues:
            queue.capacity_changed()

    def estimated_wait_s(self, route: str) -> float:
        """Return the estimated wait of a new request for a route, in seconds."""
        queue = self._queues.get(route)
        return queue.estimated_wait_s if queue is not None else 0.0

    @property
    def waiting(self) -> int:
        """The number of waiting requests over all routes."""
        return sum(queue.waiting for queue in list(self._queues.values()))
