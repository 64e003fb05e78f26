"""A budget for retries, shared by all instances."""

import threading
from collections.abc import Callable

from oriolepaddle.clock import Clock

__all__ = ["FleetRetryBudget"]

SAFETY_FACTOR = 0.5
"""Fraction of the budget that is used: the number of instances is known with a
delay, and callers' requests are distributed unevenly over them."""


class FleetRetryBudget:
    """A token bucket of retries for each service; thread-safe.

    Over all instances, the retries in a window are at most a fraction of the
    requests plus a constant. Each request adds its fraction to the bucket; the
    constant is divided equally among the instances.

    Args:
        clock: The source of time.
        ratio: Retries allowed for each request.
        extra: Additional retries in each window, over all instances.
        window_s: The window in seconds.
        count_instances: Returns how many instances share the additional retries.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        extra: float,
        window_s: float,
        count_instances: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window_s = window_s
        self._count_instances = count_instances
        self._lock = threading.Lock()
        self._balances: dict[str, tuple[float, float]] = {}

    def record_request(self, service: str) -> None:
        """Credit the bucket of a service for one new request."""
        with self._lock:
            self._balances[service] = (
                self._clock.monotonic_s(),
                min(self._cap(), self._refill(service) + self._ratio),
            )

    def acquire(self, service: str) -> bool:
        """Acquire a token for one retry; return whether there was one."""
        with self._lock:
            balance = self._refill(service)
            is_allowed = balance >= 1
            balance -= 1 if is_allowed else 0
            self._balances[service] = (self._clock.monotonic_s(), balance)
            return is_allowed

    def _cap(self) -> float:
        return max(1.0, self._extra / max(1, self._count_instances()))

    def _refill(self, service: str) -> float:
        now_s = self._clock.monotonic_s()
        entry = self._balances.get(service)
        if entry is None:
            # The bucket is not full at the start, since the use by an earlier
            # incarnation of this instance is unknown.
            return min(1.0, self._cap())
        updated_at_s, balance = entry
        refill = self._cap() * (now_s - updated_at_s) / self._window_s
        return min(self._cap(), balance + refill * SAFETY_FACTOR)
