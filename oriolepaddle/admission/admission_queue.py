"""Which requests run, wait or are refused."""

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
"""Cost of a prompt's token relative to one of the answer."""
PACE_WEIGHT = 0.05
SURE_PART = 0.5
"""Part of the expected running time that a request needs in any case."""
MIN_SERVICE_S = 0.001
RETRY_AFTER = timedelta(seconds=1)


class AdmissionQueue:
    """A bounded queue before the endpoints; not safe for threads by itself.

    Args:
        clock: The clock.
        count_allowed: Returns how many requests may run now.
        queue: The order in which waiting requests go on.
        limits: The bounds of the queue.
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
        self._pace: MeasuredAverage | None = None

    @property
    def running(self) -> int:
        """Requests that hold a place."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def estimate_wait_s(self) -> float:
        """Return the seconds until all that wait now could have been admitted."""
        if not len(self._queue):
            return 0.0
        allowed = max(1, self._count_allowed())
        return self._expect_s(self._queue.cost_tokens) / allowed

    def join(
        self,
        organisation: str,
        weight: float,
        prompt_tokens: int,
        output_tokens: int,
        deadline_s: float,
        priority: int,
    ) -> Waiter:
        """Put a request into the queue and admit all that may run.

        Raises:
            RefusedError: It cannot make its deadline, or the queue is full.
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
        """Admit what may run, and refuse what can no longer be in time."""
        now_s = self._clock.monotonic_s()
        allowed = self._count_allowed() if len(self._queue) else 0
        while len(self._queue) and len(self._running) < allowed:
            waiter = self._queue.pop()
            if now_s > waiter.entered_s and now_s > self.latest_start_s(waiter):
                self._refuse(waiter, self._make_late(waiter))
                continue
            waiter.admitted_s = now_s
            self._running.add(waiter)
            waiter.decided.set()

    def expire(self, waiter: Waiter) -> None:
        """Refuse a request that waited as long as it may."""
        if waiter.decided.is_set():
            return
        self._queue.remove(waiter)
        self._refuse(waiter, self._make_late(waiter))

    def leave(self, waiter: Waiter) -> None:
        """Take out a request, whether it runs, waits or neither."""
        if waiter in self._running:
            self._running.remove(waiter)
            self._learn(waiter)
        else:
            self._queue.remove(waiter)
        self.admit()

    def latest_start_s(self, waiter: Waiter) -> float:
        """Return the monotonic time after which a request is refused."""
        in_time_s = waiter.deadline_s - SURE_PART * self._expect_s(waiter.cost_tokens)
        return min(in_time_s, waiter.entered_s + self._limits.wait_s)

    def _check_deadline(self, waiter: Waiter, now_s: float) -> None:
        wait_s = self._estimate_wait_s(waiter)
        # Without a wait, an estimate alone is no reason to refuse: it can only
        # be put right by requests that run.
        latest_s = self.latest_start_s(waiter) if wait_s > 0 else waiter.deadline_s
        late_s = now_s + wait_s - latest_s
        if late_s >= 0:
            raise RefusedError(
                f"would wait {wait_s:.1f} s, too long for its deadline",
                code=ErrorCode.DEADLINE_UNREACHABLE,
                retry_after=max(RETRY_AFTER, timedelta(seconds=late_s)),
            )

    def _estimate_wait_s(self, waiter: Waiter) -> float:
        allowed = max(1, self._count_allowed())
        if not len(self._queue) and len(self._running) < allowed:
            return 0.0
        ahead = self._queue.estimate_ahead(waiter) + waiter.cost_tokens
        return self._expect_s(ahead) / allowed

    def _expect_s(self, cost_tokens: float) -> float:
        return 0.0 if self._pace is None else self._pace.value * cost_tokens

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

    def _make_late(self, waiter: Waiter) -> RefusedError:
        waited_s = self._clock.monotonic_s() - waiter.entered_s
        sure_s = SURE_PART * self._expect_s(waiter.cost_tokens)
        is_late = self._clock.monotonic_s() >= waiter.deadline_s - sure_s
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

    def _learn(self, waiter: Waiter) -> None:
        # Seconds for each token that the answer may have, not only has.
        elapsed_s = self._clock.monotonic_s() - waiter.admitted_s
        pace = max(elapsed_s, MIN_SERVICE_S) / waiter.cost_tokens
        if self._pace is None:
            self._pace = MeasuredAverage(pace, PACE_WEIGHT)
        self._pace.add(pace)
