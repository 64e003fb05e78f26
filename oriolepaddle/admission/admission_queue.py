"""The admission queue: which requests run, wait or are refused."""

import itertools
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.admission.admission_limits import AdmissionLimits
from oriolepaddle.admission.waiter import Waiter
from oriolepaddle.admission.waiting_queue import WaitingQueue
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.routing.average import MeasuredAverage

__all__ = ["AdmissionQueue"]

PROMPT_TOKEN_COST = 0.02
"""Cost of a prompt token relative to an output token."""
SERVICE_TIME_WEIGHT = 0.05
MIN_SERVICE_FRACTION = 0.5
"""Fraction of the estimated service time that a request is assumed to need at least."""
MIN_SERVICE_S = 0.001
RETRY_AFTER = timedelta(seconds=1)


class AdmissionQueue:
    """A bounded queue in front of the endpoints; not thread-safe.

    Args:
        clock: The clock.
        count_allowed: Returns how many requests may run at once now.
        queue: Stores the waiting requests and decides their order.
        limits: The limits of the queue.
    """

    def __init__(
        self,
        clock: Clock,
        count_allowed: Callable[[], int],
        queue: WaitingQueue,
        limits: AdmissionLimits,
    ) -> None:
        self._clock = clock
        self._count_allowed = count_allowed
        self._limits = limits
        self._queue = queue
        self._sequences = itertools.count()
        self._running: set[Waiter] = set()
        self._service_s_per_token: MeasuredAverage | None = None

    @property
    def running(self) -> int:
        """Number of admitted requests that have not left."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def estimate_wait_s(self) -> float:
        """Return the estimated time until all waiting requests are admitted."""
        if not len(self._queue):
            return 0.0
        allowed = max(1, self._count_allowed())
        return self._estimate_service_s(self._queue.cost_tokens) / allowed

    def join(
        self,
        organisation: str,
        weight: float,
        prompt_tokens: int,
        output_tokens: int,
        deadline_s: float,
        priority: int,
    ) -> Waiter:
        """Add a request to the queue and admit all requests that may run.

        Raises:
            RefusedError: It cannot meet its deadline, or the queue is full.
        """
        now_s = self._clock.monotonic_s()
        waiter = Waiter(
            organisation=organisation,
            weight=weight,
            cost_tokens=1.0 + output_tokens + PROMPT_TOKEN_COST * prompt_tokens,
            deadline_s=deadline_s,
            priority=priority,
            entered_s=now_s,
            sequence=next(self._sequences),
        )
        self.admit()
        self._check_deadline(waiter, now_s)
        self._make_room(waiter)
        self._queue.push(waiter)
        self.admit()
        return waiter

    def admit(self) -> None:
        """Admit requests that may run; refuse those that cannot meet their deadline."""
        now_s = self._clock.monotonic_s()
        allowed = self._count_allowed() if len(self._queue) else 0
        while len(self._queue) and len(self._running) < allowed:
            waiter = self._queue.pop()
            if now_s > waiter.entered_s and now_s > self.latest_start_s(waiter):
                self._refuse(waiter, self._make_timeout_refusal(waiter))
                continue
            waiter.admitted_s = now_s
            self._running.add(waiter)
            waiter.decided.set()

    def expire(self, waiter: Waiter) -> None:
        """Refuse a request whose maximum wait has elapsed."""
        if waiter.decided.is_set():
            return
        self._queue.remove(waiter)
        self._refuse(waiter, self._make_timeout_refusal(waiter))

    def leave(self, waiter: Waiter) -> None:
        """Remove a request, whether it is running, waiting or neither."""
        if waiter in self._running:
            self._running.remove(waiter)
            self._update_service_time(waiter)
        else:
            self._queue.remove(waiter)
        self.admit()

    def latest_start_s(self, waiter: Waiter) -> float:
        """Return the monotonic time after which a request is refused."""
        deadline_start_s = (
            waiter.deadline_s
            - MIN_SERVICE_FRACTION * self._estimate_service_s(waiter.cost_tokens)
        )
        return min(deadline_start_s, waiter.entered_s + self._limits.wait_s)

    def _check_deadline(self, waiter: Waiter, now_s: float) -> None:
        wait_s = self._estimate_wait_s(waiter)
        # Without a wait, the estimated service time alone is no reason to refuse: if
        # it is wrong, only requests that run can correct it.
        latest_s = self.latest_start_s(waiter) if wait_s > 0 else waiter.deadline_s
        overdue_s = now_s + wait_s - latest_s
        if overdue_s >= 0:
            raise RefusedError(
                f"would wait {wait_s:.1f} s, too long for its deadline",
                code=ErrorCode.DEADLINE_UNREACHABLE,
                retry_after=max(RETRY_AFTER, timedelta(seconds=overdue_s)),
            )

    def _estimate_wait_s(self, waiter: Waiter) -> float:
        allowed = max(1, self._count_allowed())
        if not len(self._queue) and len(self._running) < allowed:
            return 0.0
        cost_ahead = self._queue.estimate_ahead(waiter) + waiter.cost_tokens
        return self._estimate_service_s(cost_ahead) / allowed

    def _estimate_service_s(self, cost_tokens: float) -> float:
        return (
            0.0
            if self._service_s_per_token is None
            else self._service_s_per_token.value * cost_tokens
        )

    def _make_room(self, waiter: Waiter) -> None:
        if len(self._queue) < self._limits.queue_length:
            return
        victim = self._queue.pick_victim(waiter)
        error = RefusedError(
            "the admission queue is full",
            code=ErrorCode.OVERLOADED,
            retry_after=RETRY_AFTER,
        )
        if victim is waiter:
            raise error
        self._queue.remove(victim)
        self._refuse(victim, error)

    def _make_timeout_refusal(self, waiter: Waiter) -> RefusedError:
        waited_s = self._clock.monotonic_s() - waiter.entered_s
        min_service_s = MIN_SERVICE_FRACTION * self._estimate_service_s(
            waiter.cost_tokens
        )
        is_late = self._clock.monotonic_s() >= waiter.deadline_s - min_service_s
        code = ErrorCode.DEADLINE_UNREACHABLE if is_late else ErrorCode.OVERLOADED
        return RefusedError(
            f"waited {waited_s:.1f} s without a free slot",
            code=code,
            retry_after=RETRY_AFTER,
        )

    @staticmethod
    def _refuse(waiter: Waiter, error: RefusedError) -> None:
        waiter.refusal = error
        waiter.decided.set()

    def _update_service_time(self, waiter: Waiter) -> None:
        # The cost counts the maximum output tokens, not the actual ones.
        elapsed_s = self._clock.monotonic_s() - waiter.admitted_s
        service_s_per_token = max(elapsed_s, MIN_SERVICE_S) / waiter.cost_tokens
        if self._service_s_per_token is None:
            self._service_s_per_token = MeasuredAverage(
                service_s_per_token, SERVICE_TIME_WEIGHT
            )
        self._service_s_per_token.add(service_s_per_token)
