"""How many repeats endpoints get, over all instances together."""

import threading
from collections.abc import Callable

from oriolepaddle.clock import Clock

__all__ = ["RetryBudget"]

SAFETY = 0.5
"""Part of the allowance that is used, as the other instances' number is known
with a delay and callers' requests reach them unevenly."""


class RetryBudget:
    """A token bucket for each service; thread-safe.

    The bound over all instances is a part of the requests plus a constant in
    each window. The part is earned here by each request, the constant is
    divided by the instances.

    Args:
        clock: The time.
        ratio: Repeats for each request.
        extra: Repeats in each window beyond that, over all instances.
        window_s: The window in seconds.
        count_instances: Returns how many instances share the constant.
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
        self._ratio = ratio * SAFETY
        self._extra = extra * SAFETY
        self._window_s = window_s
        self._count_instances = count_instances
        self._lock = threading.Lock()
        self._balances: dict[str, tuple[float, float]] = {}

    def record_request(self, service: str) -> None:
        """Earn for one first sending."""
        with self._lock:
            self._balances[service] = (
                self._clock.monotonic_s(),
                min(self._cap(), self._refill(service) + self._ratio),
            )

    def acquire(self, service: str) -> bool:
        """Take one repeat; return whether it is allowed."""
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
        held = self._balances.get(service)
        if held is None:
            # A new life does not know what an earlier one has used.
            return min(1.0, self._cap())
        noted_s, balance = held
        gained = self._cap() * (now_s - noted_s) / self._window_s
        return min(self._cap(), balance + gained * SAFETY)
